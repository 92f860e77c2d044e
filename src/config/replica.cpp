#include "config/replica.hpp"

#include "config/delta.hpp"

#include <utility>
#include <variant>

namespace gooseberrywood::config
{

namespace
{

template <class Update>
base::result<bool> take(replica& of, Update const& update, base::mono_time now)
{
    auto before = of.current.current;
    auto taken = offer(of.current, update, now);
    if (!taken || !*taken)
    {
        return taken;
    }
    if (before)
    {
        changed(of.past, *before, *of.current.current);
    }
    auto const reached = version(of.current);
    version_changed(of.announcements, reached);
    version_changed(of.freshness, reached);
    // Evidence that rests on held changes must be renewed against the new version.
    prepare(of.freshness, of.current, now);
    return taken;
}

} // namespace

replica start_replica(wire::peer_role role, verify_function verify, base::mono_time now)
{
    replica made;
    made.role = role;
    made.current = start_in_force(std::move(verify));
    made.announcements = start_announcements(now);
    return made;
}

base::result<bool> offer(replica& of, record const& offered, base::mono_time now)
{
    return take(of, offered, now);
}

base::result<bool> receive_content(replica& of, std::string_view content, base::mono_time now)
{
    auto const update = decode_update(content);
    if (!update)
    {
        return tl::unexpected(update.error());
    }
    return std::visit([&](auto const& any) { return take(of, any, now); }, *update);
}

bool receive_frame(replica& of, peer_frame const& frame, base::mono_time now)
{
    bool const is_entry = of.role == wire::peer_role::entry;
    named_change const stated{frame.version, frame.hash};
    auto const* known = is_entry ? find(of.freshness, stated) : find(of.announcements, stated);
    bool taken = false;
    if (known != nullptr)
    {
        // Taking it removes it from the memory that `known` points into.
        auto const said = *known;
        taken = take(of, said, now).value_or(false);
    }
    heard(of.current, frame);
    if (is_entry)
    {
        heard(of.freshness, frame);
    }
    else
    {
        heard(of.announcements, frame, version(of.current));
    }
    return taken;
}

void receive_intent(replica& of, intent const& said, base::mono_time now)
{
    if (of.role == wire::peer_role::entry)
    {
        announced(of.freshness, said, now);
    }
    else
    {
        announced(of.announcements, said, version(of.current), now);
    }
}

std::optional<std::string> receive_head(replica& of, std::optional<head> const& held,
                                        base::mono_time asked_at, base::mono_time now)
{
    auto const stored_version = held ? held->version : version(of.current);
    if (stored_version > version(of.current))
    {
        named_change const stated{held->version, held->hash};
        auto const* known = find(of.freshness, stated);
        auto const said = known != nullptr ? *known : intent{stated, {}, false, held->delta};
        // An error or a delta from another version leaves the whole record to be read.
        (void)take(of, said, now);
    }
    store_word(of.freshness, stored_version, asked_at);
    return stored_version > version(of.current) ? std::optional(record_key(*held)) : std::nullopt;
}

base::result<bool> receive_store(replica& of, std::optional<record> const& held,
                                 base::mono_time asked_at, base::mono_time now)
{
    base::result<bool> taken = false;
    auto stored_version = version(of.current);
    if (held)
    {
        taken = take(of, *held, now);
        // After a refusal the stored version is not the one in effect, but no process takes it.
        stored_version = taken ? held->version : version(of.current);
    }
    store_word(of.freshness, stored_version, asked_at);
    return taken;
}

std::optional<due_request> next_request(replica& of, base::mono_time now)
{
    if (auto due = next_request(of.current, now))
    {
        return due;
    }
    return of.role == wire::peer_role::entry ? next_request(of.freshness, now) : std::nullopt;
}

request_answer answer(replica const& of, std::uint64_t above_version)
{
    request_answer made;
    if (!of.current.current)
    {
        return made;
    }
    made.contents = answer(of.past, *of.current.current, above_version).value_or(made.contents);
    for (auto const& at : of.announcements.pending)
    {
        made.announcements.push_back(at.made);
    }
    return made;
}

peer_frame outgoing(replica const& of, base::mono_time now)
{
    peer_frame made;
    made.version = version(of.current);
    made.hash = of.current.current_hash;
    made.announced = named(of.announcements);
    made.sender = of.role == wire::peer_role::entry ? standing_of(of.freshness, now)
                                                    : standing_of(of.announcements);
    return made;
}

} // namespace gooseberrywood::config
