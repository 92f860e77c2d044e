#ifndef GOOSEBERRYWOOD_AGENT_REPLIES_HPP
#define GOOSEBERRYWOOD_AGENT_REPLIES_HPP

#include "admission/refusal.hpp"
#include "agent/agent_process.hpp"

#include <span>

namespace gooseberrywood::agent
{

/// \brief Sends a message to one entry, if it is still connected.
void send_to(agent_process& agent, std::uint64_t entry, wire::message body);

/// \brief Sends a message to all connected entries.
void send_to_all(agent_process& agent, wire::message const& body);

/// \brief Tells entries that attempts do not start.
void send_refusals(agent_process& agent, std::span<admission::refusal const> refused);

/// \brief Tells an entry that a started attempt ended without an answer.
void send_lost(agent_process& agent, std::uint64_t entry, admission::attempt_key const& key,
               base::error const& why);

} // namespace gooseberrywood::agent

#endif
