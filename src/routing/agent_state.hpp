#ifndef GOOSEBERRYWOOD_ROUTING_AGENT_STATE_HPP
#define GOOSEBERRYWOOD_ROUTING_AGENT_STATE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief State of one agent as known to the entry.
struct agent_state
{
    std::string host;
    std::string domain;
    std::uint64_t incarnation = 0;
    std::uint32_t epoch = 0;
    bool connected = false;
    bool domain_out = false;
    bool leaving = false;
    /// Indices into the table's upstreams.
    std::vector<std::uint32_t> upstreams;
};

} // namespace gooseberrywood::routing

#endif
