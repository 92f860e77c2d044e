#include "config/in_force.hpp"

#include "base/hash.hpp"
#include "base/invariant.hpp"
#include "config/timing.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gooseberrywood::config
{

in_force start_in_force(verify_function verify)
{
    in_force made;
    made.verify = std::move(verify);
    return made;
}

std::uint64_t version(in_force const& of)
{
    return of.current ? of.current->version : 0;
}

base::result<bool> offer(in_force& of, record const& offered, base::mono_time now)
{
    auto const before = version(of);
    if (offered.version < before || offered.version == 0)
    {
        return base::fail(
            base::result_code::version_too_old,
            fmt::format("version {} is offered, version {} is in effect", offered.version, before));
    }
    auto const hash = record_hash(offered);
    if (offered.version == before)
    {
        if (hash == of.current_hash)
        {
            return false;
        }
        return base::fail(base::result_code::version_conflict,
                          fmt::format("version {} is in effect with other content", before));
    }
    auto stated = of.verify(offered.bundle_text, offered.bundle_signature);
    if (!stated)
    {
        return tl::unexpected(stated.error());
    }
    if (stated->version < of.bundle.version)
    {
        return base::fail(base::result_code::version_too_old,
                          fmt::format("version {} holds the older bundle {}; {} is in effect",
                                      offered.version, stated->version, of.bundle.version));
    }
    base::check_invariant(offered.version > before, "the configuration in effect never reverts");
    of.current = offered;
    of.current_hash = hash;
    of.bundle = std::move(*stated);
    of.want_whole = false;
    // A further version that a peer already has can be asked for at once.
    of.asked_until = now;
    return true;
}

base::result<bool> offer(in_force& of, delta const& offered, base::mono_time now)
{
    if (offered.to_version <= version(of))
    {
        return base::fail(base::result_code::version_too_old,
                          fmt::format("a delta to version {} is offered, version {} is in effect",
                                      offered.to_version, version(of)));
    }
    auto made = of.current
                    ? apply(*of.current, of.current_hash, offered)
                    : base::result<record>(base::fail(base::result_code::version_conflict,
                                                      "a delta is offered to an empty process"));
    auto taken = made.and_then([&](record const& whole) { return offer(of, whole, now); });
    if (!taken)
    {
        of.want_whole = true;
        of.asked_until = now;
    }
    return taken;
}

base::result<bool> offer(in_force& of, intent const& said, base::mono_time now)
{
    auto const change = decode_delta(said.content);
    if (!change)
    {
        return tl::unexpected(change.error());
    }
    if (change->from_version != version(of) || change->to_version != said.what.version ||
        change->to_hash != said.what.hash)
    {
        return false;
    }
    return offer(of, *change, now);
}

void heard(in_force& of, peer_frame const& frame)
{
    auto const at = of.peer_versions.find(frame.host);
    if (at != of.peer_versions.end())
    {
        // A restarted peer may state less than before, so this is no maximum.
        at->second = frame.version;
        return;
    }
    of.peer_versions.emplace(frame.host, frame.version);
}

void disconnected(in_force& of, std::string_view host)
{
    auto const at = of.peer_versions.find(host);
    if (at != of.peer_versions.end())
    {
        of.peer_versions.erase(at);
    }
}

std::uint64_t highest_known(in_force const& of)
{
    auto highest = version(of);
    for (auto const& [host, stated] : of.peer_versions)
    {
        highest = std::max(highest, stated);
    }
    return highest;
}

std::optional<due_request> next_request(in_force& of, base::mono_time now)
{
    if (now < of.asked_until)
    {
        return std::nullopt;
    }
    // Any newer peer is asked, not only the newest: a peer that states a high version but never
    // delivers it must not keep this process from the versions in between. The order changes with
    // each request, so that the requests of many processes spread over their peers.
    std::string const* chosen = nullptr;
    std::uint64_t lowest = 0;
    for (auto const& [host, stated] : of.peer_versions)
    {
        if (stated <= version(of))
        {
            continue;
        }
        auto const rank = base::hash64(host, of.requests);
        if (chosen == nullptr || rank < lowest)
        {
            chosen = &host;
            lowest = rank;
        }
    }
    if (chosen == nullptr)
    {
        return std::nullopt;
    }
    ++of.requests;
    of.asked_until = now + request_timeout;
    return due_request{*chosen, of.want_whole ? 0 : version(of)};
}

} // namespace gooseberrywood::config
