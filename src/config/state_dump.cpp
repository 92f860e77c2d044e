#include "config/state_dump.hpp"

#include "config/timing.hpp"
#include "config/witness.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>

namespace gooseberrywood::config
{

namespace
{

nlohmann::json from_now(base::mono_time at, base::mono_time now)
{
    // Times that were never set lie before any time that a process can have.
    if (at < base::mono_time{})
    {
        return nullptr;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(at - now).count();
}

nlohmann::json dump_announcement(announcement const& of, base::mono_time now)
{
    return {{"version", of.made.what.version},
            {"hash", fmt::format("{:016x}", of.made.what.hash)},
            {"announcer", of.made.announcer},
            {"may_clear_in_ms", from_now(of.clear_after, now)}};
}

} // namespace

std::string_view to_string(serving_state state)
{
    switch (state)
    {
    case serving_state::stopped:
        break;
    case serving_state::restricted:
        return "restricted";
    case serving_state::full:
        return "full";
    }
    return "stopped";
}

nlohmann::json dump(in_force const& of)
{
    auto ahead = nlohmann::json::object();
    for (auto const& [host, stated] : of.peer_versions)
    {
        if (stated > version(of))
        {
            ahead[host] = stated;
        }
    }
    nlohmann::json made = {{"version", version(of)},
                           {"hash", fmt::format("{:016x}", of.current_hash)},
                           {"bundle_version", of.bundle.version},
                           {"domains", of.bundle.domains},
                           {"peers_ahead", ahead},
                           {"requests", of.requests},
                           {"next_request_is_whole", of.want_whole}};
    if (of.current)
    {
        made["bundle_bytes"] = of.current->bundle_text.size();
        made["domains_out"] = of.current->domains_out;
    }
    return made;
}

nlohmann::json dump(freshness const& of, base::mono_time now)
{
    auto domains = nlohmann::json::object();
    for (auto const& domain : of.domains)
    {
        std::size_t listed = 0;
        std::size_t recent = 0;
        if (auto const agents = of.agents.find(domain); agents != of.agents.end())
        {
            listed = agents->second.size();
            for (auto const& [host, known] : agents->second)
            {
                recent += known.restricted_at + freshness_window > now ? 1 : 0;
            }
        }
        domains[domain] = {{"agents", listed}, {"agree", recent}, {"needed", heard_quorum(listed)}};
    }
    auto held = nlohmann::json::array();
    for (auto const& at : of.held)
    {
        held.push_back(dump_announcement(at.announced, now));
        held.back()["record_ready"] = at.whole.has_value();
    }
    return {{"state", to_string(state_of(of, now))},
            {"full_until_ms", from_now(full_until(of), now)},
            {"restricted_until_ms", from_now(restricted_until(of), now)},
            {"store_version", of.store_version},
            {"store_asked_ms", from_now(of.store_asked_at, now)},
            {"domains", domains},
            {"announced", held}};
}

nlohmann::json dump(announcements const& of, base::mono_time now)
{
    auto pending = nlohmann::json::array();
    for (auto const& at : of.pending)
    {
        pending.push_back(dump_announcement(at, now));
    }
    return {{"witness", of.remembers},
            {"witness_earliest_in_ms", from_now(of.remember_after, now)},
            {"announced", pending}};
}

} // namespace gooseberrywood::config
