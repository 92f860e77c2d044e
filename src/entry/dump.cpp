#include "entry/dump.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace gooseberrywood::entry
{

namespace
{

using json = nlohmann::ordered_json;

// A state dump lists at most so many requests, so that it stays readable and quick to build.
constexpr std::size_t max_listed_requests = 200;

std::string_view name_of(routing::request_phase phase)
{
    constexpr std::array<std::string_view, 5> names = {"queued", "sent", "started", "fencing",
                                                       "done"};
    return names[static_cast<std::size_t>(phase)];
}

std::string_view name_of(config::serving_state state)
{
    constexpr std::array<std::string_view, 3> names = {"stopped", "restricted", "full"};
    return names[static_cast<std::size_t>(state)];
}

json dump_request(request const& which, base::mono_time now)
{
    constexpr std::int64_t us_per_ms = 1000;
    return {{"id", base::to_string(which.id)},
            {"team", which.caller.team},
            {"route", which.caller.route},
            {"phase", which.claim ? "claiming" : name_of(which.log.phase)},
            {"attempt", which.log.attempt},
            {"upstream", which.upstream},
            {"passed_tokens", which.log.passed_tokens},
            {"deadline_in_ms", (which.log.deadline - now).count() / us_per_ms}};
}

json dump_upstream(routing::upstream_table const& table, routing::upstream_state const& u)
{
    return {{"host", table.agents[u.agent].host},
            {"candidate", u.candidate},
            {"accepting", u.accepting},
            {"credit", u.credit},
            {"in_flight", u.in_flight},
            {"limit", u.limit},
            {"running", u.running},
            {"queued", u.queued},
            {"latency_us", u.latency_us}};
}

json dump_upstreams(routing::upstream_table const& table)
{
    auto out = json::object();
    for (auto const& agent : table.agents)
    {
        for (auto const index : agent.upstreams)
        {
            auto const& u = table.upstreams[index];
            out[u.name] = dump_upstream(table, u);
        }
    }
    return out;
}

json dump_teams(entry_process const& entry)
{
    auto out = json::object();
    for (auto const& [name, team] : entry.queue.teams)
    {
        out[name] = {{"waiting", team.count}, {"bytes", team.bytes}, {"counter", team.counter}};
    }
    return out;
}

} // namespace

json dump(entry_process const& entry)
{
    auto const now = base::mono_now();
    json out;
    out["role"] = "entry";
    out["host"] = entry.settings.host;
    out["domain"] = entry.settings.domain;
    out["incarnation"] = entry.own.incarnation;
    out["config_version"] = process::version(entry.configuration);
    out["domains_out"] = entry.configuration.domains_out;
    out["serving_keyed_routes"] = name_of(entry.serving);
    out["store_answers"] = entry.store_answers;
    out["hosts_leaving"] = entry.hosts_leaving;
    out["stopping"] = entry.stopping;
    out["connections"] = entry.callers->connections->open.size();
    out["retry_tokens"] = entry.retries.tokens;
    out["suspects"] = entry.suspects.marks.size();
    out["agents"] = json::object();
    for (auto const& [host, link] : entry.agents)
    {
        out["agents"][host] = {
            {"address", link->address}, {"up", is_up(*link)}, {"requests", link->requests.size()}};
    }
    out["upstreams"] = dump_upstreams(entry.upstreams);
    out["teams"] = dump_teams(entry);
    out["request_count"] = entry.requests.size();
    out["requests"] = json::array();
    for (auto const& [id, which] : entry.requests)
    {
        if (out["requests"].size() == max_listed_requests)
        {
            break;
        }
        out["requests"].push_back(dump_request(which, now));
    }
    return out;
}

} // namespace gooseberrywood::entry
