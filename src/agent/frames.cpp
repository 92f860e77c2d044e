#include "agent/frames.hpp"

#include "agent/configuration.hpp"
#include "agent/replies.hpp"
#include "agent/reports.hpp"
#include "agent/work.hpp"
#include "base/log.hpp"

#include <fmt/format.h>

namespace gooseberrywood::agent
{

namespace
{

wire::connection const& connection_of(agent_process const& agent, std::uint64_t entry)
{
    return *agent.peers.at(entry).connection;
}

void handle(agent_process& agent, std::uint64_t entry, wire::hello& message)
{
    if (message.role != wire::peer_role::entry)
    {
        return;
    }
    for (auto const& [name, where] : agent.upstreams)
    {
        admission::connect(where->point, entry);
    }
    greet(agent, entry);
}

// An entry whose configuration is older may not know yet that a key was withdrawn. One that is
// ahead may know a new key that this agent does not.
bool is_withdrawn(agent_process const& agent, std::uint64_t entry, std::string const& key_hash)
{
    auto const& configuration = agent.configuration;
    return !key_hash.empty() &&
           agent.peers.at(entry).config_version <= process::version(configuration) &&
           bundle::find_team_by_key(configuration.bundle, key_hash) == nullptr;
}

void handle(agent_process& agent, std::uint64_t entry, wire::start& message)
{
    auto const at = agent.upstreams.find(message.upstream);
    if (at == agent.upstreams.end())
    {
        // Nothing of that name can ever run here, so no tombstone is needed.
        send_to(agent, entry,
                wire::refuse{message.id, message.attempt, base::result_code::no_upstream, true,
                             wire::to_wall(base::mono_now()),
                             fmt::format("no upstream {} on this host", message.upstream)});
        return;
    }
    auto& where = *at->second;
    auto const deadline = wire::to_local(connection_of(agent, entry), message.deadline);
    if (is_withdrawn(agent, entry, message.key_hash))
    {
        auto const now = base::mono_now();
        bool const not_run = admission::write_tombstone(where.point.attempts, message.id,
                                                        message.attempt, deadline, now);
        send_to(agent, entry,
                wire::refuse{message.id, message.attempt, base::result_code::key_unknown, not_run,
                             wire::to_wall(now), "the key was withdrawn"});
        return;
    }
    auto const answer = admission::offer(
        where.point, {std::move(message), entry, deadline, {}, {}, false}, base::mono_now());
    if (answer.superseded)
    {
        send_refusals(agent, std::span(&*answer.superseded, 1));
    }
    if (answer.refused)
    {
        send_refusals(agent, std::span(&*answer.refused, 1));
        return;
    }
    pump(agent, where);
}

void handle(agent_process& agent, std::uint64_t, wire::cancel const& message)
{
    auto const now = base::mono_now();
    for (auto const& [name, where] : agent.upstreams)
    {
        auto const answer = admission::cancel(where->point, message.id, message.attempt, now);
        if (answer.is_running)
        {
            auto const at = where->point.running.find({message.id, message.attempt});
            // Copied: the end of the attempt removes it from the map.
            auto const running = at->second;
            abort_attempts(agent, *where, std::span(&running, 1));
        }
        if (answer.is_running || answer.refused)
        {
            pump(agent, *where);
        }
    }
    stop_if_idle(agent);
}

void handle(agent_process& agent, std::uint64_t entry, wire::fence const& message)
{
    // The frame names no upstream: the attempt may have been for any of this host.
    bool started = false;
    for (auto const& [name, where] : agent.upstreams)
    {
        started = admission::fence(where->point, message.id, message.attempt, base::mono_now()) ||
                  started;
    }
    send_to(agent, entry, wire::fenced{message.id, message.attempt, started});
}

void handle(agent_process& agent, std::uint64_t entry, wire::claim const& message)
{
    auto const now = base::mono_now();
    auto const deadline = wire::to_local(connection_of(agent, entry), message.deadline);
    auto const answer = admission::claim(agent.claims, message.id, message.token, deadline, now);
    bool const is_new =
        answer == admission::claim_status::is_new || answer == admission::claim_status::same_token;
    send_to(agent, entry,
            wire::claimed{message.id, message.token, is_new,
                          now >= agent.started_at + agent.settings.claim_horizon});
}

void handle(agent_process& agent, std::uint64_t entry, wire::suspect const& message)
{
    auto const expires_at = wire::to_local(connection_of(agent, entry), message.expires_at);
    for (auto const& [name, where] : agent.upstreams)
    {
        send_refusals(agent,
                      admission::mark_suspect(where->point, message.fingerprint, message.crash_ids,
                                              expires_at, base::mono_now()));
    }
}

void handle(agent_process& agent, std::uint64_t entry, wire::config_request const& message)
{
    answer_request(agent, entry, message);
}

void handle(agent_process& agent, std::uint64_t entry, wire::config_content const& message)
{
    process::offer(agent.configuration, message.content, connection_of(agent, entry).peer->host);
    ask_for_configuration(agent);
}

void handle(agent_process& agent, std::uint64_t entry, wire::config_intent const& message)
{
    note_intent(agent, entry, message);
}

template <class Other>
void handle(agent_process&, std::uint64_t, Other const&)
{
    // The other messages go from agents to entries only.
}

void handle_closed(agent_process& agent, std::uint64_t entry, base::error const& why)
{
    base::log_line(base::log_level::info, "entry_disconnected",
                   {{"code", why.code}, {"message", std::string_view(why.message)}});
    if (auto const& greeting = connection_of(agent, entry).peer)
    {
        config::disconnected(agent.configuration.in_force, greeting->host);
    }
    agent.peers.erase(entry);
    for (auto const& [name, where] : agent.upstreams)
    {
        auto const ended = admission::disconnect(where->point, entry, base::mono_now());
        abort_attempts(agent, *where, ended.running);
        pump(agent, *where);
    }
    stop_if_idle(agent);
}

} // namespace

void accept_entry(agent_process& agent, base::object_ptr<GSocket> socket)
{
    auto const number = agent.next_peer++;
    wire::connection_handlers handlers;
    handlers.stamp = [&agent]
    {
        return make_stamp(agent);
    };
    handlers.on_frame = [&agent, number](wire::frame& received)
    {
        note_frame(agent, number, received);
        // The connection is gone when an answer could not be queued.
        if (agent.peers.contains(number))
        {
            std::visit([&](auto& message) { handle(agent, number, message); }, received.body);
        }
    };
    handlers.on_closed = [&agent, number](base::error const& why)
    {
        handle_closed(agent, number, why);
    };
    agent.peers.emplace(number, peer{number, wire::make_connection(std::move(socket), agent.own,
                                                                   std::move(handlers))});
}

} // namespace gooseberrywood::agent
