#include "agent/configuration.hpp"

#include "agent/replies.hpp"
#include "agent/reports.hpp"
#include "agent/work.hpp"

#include <algorithm>
#include <set>

namespace gooseberrywood::agent
{

namespace
{

std::vector<std::string> withdrawn_keys(bundle::bundle const& before, bundle::bundle const& now)
{
    std::vector<std::string> out;
    for (auto const& team : before.teams)
    {
        for (auto const& hash : team.key_hashes)
        {
            auto const* holder = bundle::find_team_by_key(now, hash);
            if (holder == nullptr || holder->name != team.name)
            {
                out.push_back(hash);
            }
        }
    }
    return out;
}

void withdraw(agent_process& agent, upstream& where, std::string const& key_hash)
{
    auto const ended = admission::withdraw_key(where.point, key_hash, base::mono_now());
    send_refusals(agent, ended.refused);
    for (auto const& a : ended.running)
    {
        send_lost(agent, a.entry, {a.id, a.attempt},
                  {base::result_code::key_withdrawn, "the key was withdrawn"});
    }
    abort_attempts(agent, where, ended.running);
}

void apply_to(agent_process& agent, upstream& where)
{
    auto const* route = bundle::find_route(agent.configuration.bundle, where.settings.route);
    where.has_route = route != nullptr;
    if (route != nullptr)
    {
        where.is_engine = route->kind == bundle::route_kind::model;
        admission::apply_route(where.point, *route);
    }
    admission::apply_teams(where.point, agent.configuration.bundle.teams);
}

wire::config_intent to_message(config::intent const& i)
{
    return {i.what.version, i.what.hash, i.announcer, i.withdrawn, i.content};
}

std::optional<base::result_code> reason_to_refuse(agent_process const& agent, upstream const& where)
{
    if (agent.stopping)
    {
        return base::result_code::shutting_down;
    }
    auto const state = membership::state_of(agent.self);
    if (state != membership::work_state::accepting)
    {
        return membership::refusal_code(state);
    }
    if (!where.has_route)
    {
        return base::result_code::unknown_route;
    }
    return where.is_down ? std::optional(base::result_code::no_upstream) : std::nullopt;
}

} // namespace

void apply_configuration(agent_process& agent, bundle::bundle const& before)
{
    auto const now = base::mono_now();
    config::version_changed(agent.announcements, process::version(agent.configuration));
    bool const returned =
        membership::set_domains_out(agent.self, agent.configuration.domains_out, now);
    auto const withdrawn = withdrawn_keys(before, agent.configuration.bundle);
    for (auto const& [name, where] : agent.upstreams)
    {
        apply_to(agent, *where);
        for (auto const& hash : withdrawn)
        {
            withdraw(agent, *where, hash);
        }
        if (returned)
        {
            // Upstreams of a domain that was out may have been stopped and started meanwhile.
            admission::restart_warm_up(where->point, now);
        }
        close_or_open(agent, *where);
        pump(agent, *where);
    }
    stop_if_idle(agent);
}

wire::frame_stamp make_stamp(agent_process const& agent)
{
    wire::frame_stamp out;
    out.config_version = process::version(agent.configuration);
    out.standing = static_cast<std::uint8_t>(config::standing_of(agent.announcements));
    for (auto const& change : config::named(agent.announcements))
    {
        out.announced.push_back({change.version, change.hash});
    }
    return out;
}

void note_frame(agent_process& agent, std::uint64_t entry, wire::frame const& received)
{
    auto& peer = agent.peers.at(entry);
    auto const& connection = *peer.connection;
    if (connection.peer->role != wire::peer_role::entry)
    {
        return;
    }
    peer.config_version = received.stamp.config_version;
    auto const said = process::make_peer_frame(connection, received);
    config::heard(agent.announcements, said, process::version(agent.configuration));
    config::heard(agent.configuration.in_force, said);
    if (received.stamp.host_leaving && !agent.self.leaving)
    {
        membership::set_leaving(agent.self);
        for (auto const& [name, where] : agent.upstreams)
        {
            close_or_open(agent, *where);
        }
    }
    ask_for_configuration(agent);
}

void ask_for_configuration(agent_process& agent)
{
    if (agent.settings.bundle_public_key.empty())
    {
        // With a bundle file there is no key, and no content could be verified.
        return;
    }
    auto const due = config::next_request(agent.configuration.in_force, base::mono_now());
    if (!due)
    {
        return;
    }
    for (auto const& [number, peer] : agent.peers)
    {
        if (peer.connection->peer && peer.connection->peer->host == due->host)
        {
            send_to(agent, number, wire::config_request{due->above_version});
            return;
        }
    }
}

void answer_request(agent_process& agent, std::uint64_t entry, wire::config_request const& request)
{
    auto const connection = agent.peers.at(entry).connection;
    process::answer(agent.configuration, *connection, request);
    for (auto const& pending : agent.announcements.pending)
    {
        (void)wire::send(*connection, to_message(pending.made));
    }
}

void note_intent(agent_process& agent, std::uint64_t entry, wire::config_intent const& said)
{
    config::announced(agent.announcements, process::to_intent(said),
                      process::version(agent.configuration), base::mono_now());
    auto reply = said;
    reply.content.clear();
    send_to(agent, entry, std::move(reply));
}

void close_or_open(agent_process& agent, upstream& where)
{
    auto const reason = reason_to_refuse(agent, where);
    if (reason)
    {
        send_refusals(agent, admission::drain(where.point, *reason, base::mono_now()));
    }
    else
    {
        admission::reopen(where.point);
    }
    report_load(agent, where);
}

void send_peer_versions(agent_process& agent)
{
    wire::peer_versions versions;
    std::vector<std::uint64_t> operators;
    for (auto const& [number, peer] : agent.peers)
    {
        auto const& greeting = peer.connection->peer;
        if (!greeting)
        {
            continue;
        }
        if (greeting->role == wire::peer_role::operator_tool)
        {
            operators.push_back(number);
        }
        else
        {
            versions.peers.push_back({greeting->host, peer.config_version});
        }
    }
    for (auto const number : operators)
    {
        send_to(agent, number, versions);
    }
}

} // namespace gooseberrywood::agent
