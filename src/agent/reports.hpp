#ifndef GOOSEBERRYWOOD_AGENT_REPORTS_HPP
#define GOOSEBERRYWOOD_AGENT_REPORTS_HPP

#include "agent/agent_process.hpp"

namespace gooseberrywood::agent
{

/// \brief Tells all entries the load of an upstream, unless little has changed since they were
/// told.
void report_load(agent_process& agent, upstream& where);

/// \brief Recomputes the entries' credit and tells them about changes.
void rebalance_credit(agent_process& agent, upstream& where);

/// \brief Tells one entry all that it needs to choose upstreams of this agent.
void greet(agent_process& agent, std::uint64_t entry);

} // namespace gooseberrywood::agent

#endif
