#include "agent/replies.hpp"

namespace gooseberrywood::agent
{

void send_to(agent_process& agent, std::uint64_t entry, wire::message body)
{
    auto const at = agent.peers.find(entry);
    if (at != agent.peers.end())
    {
        (void)wire::send(*at->second.connection, std::move(body));
    }
}

void send_to_all(agent_process& agent, wire::message const& body)
{
    for (auto const& [number, peer] : agent.peers)
    {
        (void)wire::send(*peer.connection, body);
    }
}

void send_refusals(agent_process& agent, std::span<admission::refusal const> refused)
{
    for (auto const& r : refused)
    {
        send_to(agent, r.entry,
                wire::refuse{r.id, r.attempt, r.code, r.not_run, wire::to_wall(r.retry_at),
                             std::string(base::info(r.code).meaning)});
    }
}

void send_lost(agent_process& agent, std::uint64_t entry, admission::attempt_key const& key,
               base::error const& why)
{
    send_to(agent, entry,
            wire::refuse{key.id, key.attempt, why.code, false, wire::to_wall(base::mono_now()),
                         why.message});
}

} // namespace gooseberrywood::agent
