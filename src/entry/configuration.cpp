#include "entry/configuration.hpp"

#include "base/log.hpp"
#include "bundle/parse.hpp"
#include "entry/dispatch.hpp"
#include "entry/requests.hpp"

#include <algorithm>

namespace gooseberrywood::entry
{

namespace
{

bool is_allowed(bundle::bundle const& in, caller_request const& caller)
{
    auto const* route = bundle::find_route(in, caller.route);
    if (route == nullptr)
    {
        return false;
    }
    if (caller.key_hash.empty())
    {
        return route->open;
    }
    auto const* team = bundle::find_team_by_key(in, caller.key_hash);
    return team != nullptr && team->name == caller.team && bundle::may_use(*team, *route);
}

// Ends all requests that fulfil a condition; requests may be gone by the time their turn comes.
template <class Condition>
void end_requests(entry_process& entry, std::string const& message,
                  routing::decision (*decide)(routing::attempt_log&), Condition condition)
{
    std::vector<base::request_id> ending;
    for (auto const& [id, which] : entry.requests)
    {
        if (condition(which.caller))
        {
            ending.push_back(id);
        }
    }
    for (auto const& id : ending)
    {
        if (auto* const which = find_request(entry, id))
        {
            which->refusal_message = message;
            carry_out(entry, *which, decide(which->log));
        }
    }
}

void set_serving(entry_process& entry, config::serving_state now)
{
    if (now != entry.serving)
    {
        base::log_line(
            now == config::serving_state::full ? base::log_level::info : base::log_level::warning,
            "keyed_routes",
            {{"serving", static_cast<std::int64_t>(now)},
             {"version", static_cast<std::int64_t>(process::version(entry.configuration))}});
    }
    entry.serving = now;
    if (now == config::serving_state::full)
    {
        entry.restrictions.clear();
        return;
    }
    if (now == config::serving_state::stopped)
    {
        end_requests(entry, "it can't be told whether the key is still valid",
                     routing::on_configuration_stale,
                     [](caller_request const& caller) { return !caller.key_hash.empty(); });
        return;
    }
    entry.restrictions.clear();
    for (auto const& record : config::restrictions(entry.freshness))
    {
        if (auto parsed = bundle::parse(record.get().bundle_text, "announced bundle"))
        {
            entry.restrictions.push_back(std::move(*parsed));
        }
    }
    end_requests(entry, "the key may have been withdrawn", routing::on_key_withdrawn,
                 [&](caller_request const& caller)
                 { return !check_serving(entry, caller).has_value(); });
}

void ask_for_configuration(entry_process& entry)
{
    auto const now = base::mono_now();
    std::vector<config::due_request> due;
    if (auto const newer = config::next_request(entry.configuration.in_force, now))
    {
        due.push_back(*newer);
    }
    if (auto const announced = config::next_request(entry.freshness, now))
    {
        due.push_back(*announced);
    }
    for (auto const& request : due)
    {
        auto const at = entry.agents.find(request.host);
        if (at != entry.agents.end() && is_up(*at->second))
        {
            (void)wire::send(*at->second->connection, wire::config_request{request.above_version});
        }
    }
}

} // namespace

void apply_configuration(entry_process& entry)
{
    auto const& configuration = entry.configuration;
    for (auto const& team : configuration.bundle.teams)
    {
        admission::set_team(entry.queue, team.name,
                            {team.weight, team.max_queued, team.max_queued_bytes});
    }
    routing::set_domains_out(entry.upstreams, configuration.domains_out);
    config::version_changed(entry.freshness, process::version(configuration));
    config::set_witnesses(entry.freshness, configuration.bundle.domains, entry.witnesses);
    end_requests(entry, "the key was withdrawn", routing::on_key_withdrawn,
                 [&](caller_request const& caller)
                 { return !is_allowed(configuration.bundle, caller); });
    if (entry.platform)
    {
        check_freshness(entry);
    }
    // An idle connection would tell the new version with its next ping only.
    for (auto const& [host, link] : entry.agents)
    {
        if (is_up(*link))
        {
            (void)wire::send(*link->connection, wire::ping{});
        }
    }
    dispatch_soon(entry);
}

wire::frame_stamp make_stamp(entry_process const& entry, agent_link const& to)
{
    wire::frame_stamp out;
    out.config_version = process::version(entry.configuration);
    out.standing = static_cast<std::uint8_t>(
        entry.platform ? config::standing_of(entry.freshness, base::mono_now())
                       : config::standing::none);
    out.host_leaving = std::find(entry.hosts_leaving.begin(), entry.hosts_leaving.end(), to.host) !=
                       entry.hosts_leaving.end();
    return out;
}

void note_frame(entry_process& entry, agent_link& from, wire::frame const& received)
{
    if (!is_up(from) || from.connection->peer->role != wire::peer_role::agent)
    {
        return;
    }
    auto const said = process::make_peer_frame(*from.connection, received);
    config::heard(entry.freshness, said);
    config::heard(entry.configuration.in_force, said);
    if (auto const* content = std::get_if<wire::config_content>(&received.body))
    {
        process::offer(entry.configuration, content->content, from.host);
    }
    else if (auto const* intent = std::get_if<wire::config_intent>(&received.body))
    {
        config::announced(entry.freshness, process::to_intent(*intent), base::mono_now());
    }
    else if (auto const* request = std::get_if<wire::config_request>(&received.body))
    {
        process::answer(entry.configuration, *from.connection, *request);
    }
    if (entry.platform)
    {
        ask_for_configuration(entry);
    }
}

void check_freshness(entry_process& entry)
{
    auto const now = base::mono_now();
    config::prepare(entry.freshness, entry.configuration.in_force, now);
    entry.full_until = config::full_until(entry.freshness);
    entry.restricted_until = config::restricted_until(entry.freshness);
    set_serving(entry, config::state_of(entry.freshness, now));
    ask_for_configuration(entry);
}

base::result<void> check_serving(entry_process const& entry, caller_request const& caller)
{
    if (!entry.platform || caller.key_hash.empty())
    {
        return {};
    }
    auto const now = base::mono_now();
    if (now < entry.full_until)
    {
        return {};
    }
    if (now >= entry.restricted_until)
    {
        return base::fail(base::result_code::configuration_stale,
                          "neither the store nor a majority of failure domains was heard");
    }
    bool const allowed =
        std::all_of(entry.restrictions.begin(), entry.restrictions.end(),
                    [&](bundle::bundle const& b) { return is_allowed(b, caller); });
    if (!allowed)
    {
        return base::fail(base::result_code::key_unknown, "the key is not known, or was withdrawn");
    }
    return {};
}

} // namespace gooseberrywood::entry
