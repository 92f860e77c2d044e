#ifndef GOOSEBERRYWOOD_AGENT_HEALTH_HPP
#define GOOSEBERRYWOOD_AGENT_HEALTH_HPP

#include "agent/agent_process.hpp"

namespace gooseberrywood::agent
{

/// \brief Finds out by a TCP connection whether an upstream is alive after a connection to it
/// broke. If it is not, everything that ran there is lost and marked with a crash id, and the
/// upstream gets no work until it accepts connections again.
void probe(agent_process& agent, upstream& where);

} // namespace gooseberrywood::agent

#endif
