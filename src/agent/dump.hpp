#ifndef GOOSEBERRYWOOD_AGENT_DUMP_HPP
#define GOOSEBERRYWOOD_AGENT_DUMP_HPP

#include "agent/agent_process.hpp"

#include <nlohmann/json_fwd.hpp>

namespace gooseberrywood::agent
{

/// \brief The state of an agent for `/state`.
[[nodiscard]] nlohmann::ordered_json dump(agent_process const& agent);

} // namespace gooseberrywood::agent

#endif
