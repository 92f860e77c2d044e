#ifndef GOOSEBERRYWOOD_AGENT_FRAMES_HPP
#define GOOSEBERRYWOOD_AGENT_FRAMES_HPP

#include "agent/agent_process.hpp"

namespace gooseberrywood::agent
{

/// \brief Takes over the socket of an entry that connects.
void accept_entry(agent_process& agent, base::object_ptr<GSocket> socket);

} // namespace gooseberrywood::agent

#endif
