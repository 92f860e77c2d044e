#ifndef GOOSEBERRYWOOD_AGENT_WORK_HPP
#define GOOSEBERRYWOOD_AGENT_WORK_HPP

#include "agent/agent_process.hpp"

namespace gooseberrywood::agent
{

/// \brief Starts whatever the limit of an upstream allows, and refuses what can't be met any more.
void pump(agent_process& agent, upstream& where);

/// \brief Aborts attempts at the upstream and accounts for them as canceled.
void abort_attempts(agent_process& agent, upstream& where,
                    std::span<admission::running_attempt const> attempts);

/// \brief Ends attempts that ran past their deadline, and idempotent ones whose upstream sends
/// nothing any more.
void end_overdue(agent_process& agent, upstream& where, base::mono_time now);

} // namespace gooseberrywood::agent

#endif
