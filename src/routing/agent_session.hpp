#ifndef GOOSEBERRYWOOD_ROUTING_AGENT_SESSION_HPP
#define GOOSEBERRYWOOD_ROUTING_AGENT_SESSION_HPP

#include <cstdint>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Identifies one connection to an agent. Reports and the end of an older connection are
/// ignored, so that they can't overwrite the state of the newer one.
struct agent_session
{
    std::uint32_t agent = 0;
    std::uint32_t epoch = 0;
    /// True when the host was known with another incarnation: the agent has restarted and lost its
    /// ledger and claims.
    bool restarted = false;
};

} // namespace gooseberrywood::routing

#endif
