#include "entry/configuration.hpp"

#include "base/log.hpp"
#include "bundle/parse.hpp"
#include "config/timing.hpp"
#include "entry/agents.hpp"
#include "entry/requests.hpp"
#include "platform/http_services.hpp"

#include <algorithm>

namespace gooseberrywood::entry
{

namespace
{

// The list lags anyway; a leaving host must be known within the 5 s in which it still gets work.
constexpr base::duration host_list_interval = std::chrono::seconds(1);

constexpr base::duration platform_timeout = std::chrono::seconds(2);

// Pause after a failed call, so that a store that returns is not met by a burst of calls.
constexpr base::duration store_retry_interval = std::chrono::milliseconds(500);

using weak_life = std::weak_ptr<int>;

void watch_store(entry_process& entry);

void watch_store_later(entry_process& entry, base::duration wait)
{
    entry.store_timer = base::at(base::mono_now() + wait, [&entry] { watch_store(entry); });
}

void note_store_record(entry_process& entry, platform::versioned_value const& held,
                       base::mono_time asked_at)
{
    entry.store_revision = held.revision;
    if (held.revision == 0)
    {
        return;
    }
    auto const record = config::decode_record(held.value);
    auto const own = process::version(entry.configuration);
    if (!record)
    {
        base::log_line(base::log_level::error, "stored_configuration_malformed",
                       {{"message", std::string_view(record.error().message)}});
        config::store_word(entry.freshness, own, asked_at);
        return;
    }
    auto const taken = process::offer(entry.configuration, *record, "store");
    bool const usable = taken || taken.error().code == base::result_code::version_too_old;
    // A record that nobody takes into effect must not stop the service.
    config::store_word(entry.freshness,
                       usable ? std::max(record->version, process::version(entry.configuration))
                              : process::version(entry.configuration),
                       asked_at);
}

void on_store_answer(entry_process& entry, base::result<platform::versioned_value> const& answer,
                     base::mono_time asked_at)
{
    if (answer)
    {
        entry.store_answers = true;
        note_store_record(entry, *answer, asked_at);
    }
    else if (answer.error().code == base::result_code::timeout)
    {
        // Nothing above the known revision when the watch began: as good as a read.
        entry.store_answers = true;
        config::store_word(entry.freshness, process::version(entry.configuration), asked_at);
    }
    else
    {
        if (entry.store_answers)
        {
            base::log_line(base::log_level::warning, "store_unavailable",
                           {{"code", answer.error().code},
                            {"message", std::string_view(answer.error().message)}});
        }
        entry.store_answers = false;
        watch_store_later(entry, store_retry_interval);
        return;
    }
    check_freshness(entry);
    watch_store_later(entry, {});
}

void watch_store(entry_process& entry)
{
    auto const asked_at = base::mono_now();
    entry.platform->store.watch(std::string(configuration_key), entry.store_revision,
                                asked_at + config::store_poll_interval,
                                [&entry, life = weak_life(entry.life), asked_at](auto const& answer)
                                {
                                    if (!life.expired())
                                    {
                                        on_store_answer(entry, answer, asked_at);
                                    }
                                });
}

void use_host_list(entry_process& entry, std::vector<platform::host_info> const& hosts)
{
    std::vector<std::string> leaving;
    entry.witnesses.clear();
    entry.claim_homes.clear();
    for (auto const& host : hosts)
    {
        if (host.wire_address.empty())
        {
            continue;
        }
        if (host.leaving)
        {
            leaving.push_back(host.host);
        }
        entry.witnesses.push_back({host.host, host.domain});
        entry.claim_homes.push_back(routing::make_claim_home(host.host, host.domain));
        add_agent(entry, host.host, host.wire_address);
    }
    entry.hosts_leaving = leaving;
    routing::set_hosts_leaving(entry.upstreams, leaving);
    config::set_witnesses(entry.freshness, entry.configuration.bundle.domains, entry.witnesses);
    remove_unlisted_agents(entry);
}

void read_hosts(entry_process& entry)
{
    entry.platform->hosts.read(base::mono_now() + platform_timeout,
                               [&entry, life = weak_life(entry.life)](auto const& answer)
                               {
                                   if (life.expired())
                                   {
                                       return;
                                   }
                                   if (answer)
                                   {
                                       use_host_list(entry, *answer);
                                   }
                                   entry.hosts_timer =
                                       base::at(base::mono_now() + host_list_interval,
                                                [&entry] { read_hosts(entry); });
                               });
}

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

config::intent to_intent(wire::config_intent const& m)
{
    return {{m.version, m.hash}, m.announcer, m.withdrawn, m.content};
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

base::result<void> start_platform(entry_process& entry)
{
    entry.configuration = process::start_configuration(entry.settings);
    entry.configuration.on_change = [&entry](bundle::bundle const&)
    {
        apply_configuration(entry);
    };
    if (entry.settings.platform_url.empty())
    {
        return {};
    }
    auto services = platform::make_http_services(entry.settings.platform_url);
    if (!services)
    {
        return tl::unexpected(services.error());
    }
    entry.platform = std::move(*services);
    entry.serving = config::serving_state::stopped;
    if (entry.configuration.in_force.current)
    {
        apply_configuration(entry);
    }
    watch_store(entry);
    read_hosts(entry);
    constexpr base::duration check_interval = std::chrono::milliseconds(200);
    entry.freshness_timer = base::every(check_interval, [&entry] { check_freshness(entry); });
    return {};
}

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
        config::announced(entry.freshness, to_intent(*intent), base::mono_now());
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
