#ifndef GOOSEBERRYWOOD_AGENT_MEASURE_HPP
#define GOOSEBERRYWOOD_AGENT_MEASURE_HPP

#include "agent/agent_process.hpp"

#include <string>

namespace gooseberrywood::agent
{

/// \brief Counts the end of an attempt at an upstream.
void count_end(agent_process& agent, upstream const& where, execution const& ended,
               admission::attempt_outcome outcome);

/// \brief All metrics of this agent as text.
[[nodiscard]] std::string exposition(agent_process& agent);

} // namespace gooseberrywood::agent

#endif
