#ifndef GOOSEBERRYWOOD_AGENT_CONFIGURATION_HPP
#define GOOSEBERRYWOOD_AGENT_CONFIGURATION_HPP

#include "agent/agent_process.hpp"

namespace gooseberrywood::agent
{

/// \brief Puts the configuration in effect into force on all upstreams: limits, teams, withdrawn
/// keys, failure domains out.
/// \param before the bundle that it replaces.
void apply_configuration(agent_process& agent, bundle::bundle const& before);

/// \brief What each frame to an entry says of this agent.
[[nodiscard]] wire::frame_stamp make_stamp(agent_process const& agent);

/// \brief Notes what a received frame says of its sender's configuration, and asks for a newer one.
void note_frame(agent_process& agent, std::uint64_t entry, wire::frame const& received);

/// \brief Asks a peer for a newer configuration, if one is known.
void ask_for_configuration(agent_process& agent);

/// \brief Answers a request for the configuration, and names the announced changes.
void answer_request(agent_process& agent, std::uint64_t entry, wire::config_request const& request);

/// \brief Notes an operator's announcement and returns it.
void note_intent(agent_process& agent, std::uint64_t entry, wire::config_intent const& said);

/// \brief Closes or opens an upstream for new work, as the process's own state demands.
void close_or_open(agent_process& agent, upstream& where);

/// \brief Tells the connected operators' commands the versions of the entries.
void send_peer_versions(agent_process& agent);

} // namespace gooseberrywood::agent

#endif
