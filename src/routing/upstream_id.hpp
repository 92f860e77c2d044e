#ifndef GOOSEBERRYWOOD_ROUTING_UPSTREAM_ID_HPP
#define GOOSEBERRYWOOD_ROUTING_UPSTREAM_ID_HPP

#include <cstdint>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Identifies an upstream during one connection of its agent.
///
/// The epoch is incremented when the agent's connection ends, so that an older id is recognised as
/// stale instead of referring to a later user of the slot.
struct upstream_id
{
    std::uint32_t index = 0;
    std::uint32_t epoch = 0;

    friend bool operator==(upstream_id const&, upstream_id const&) = default;
};

} // namespace gooseberrywood::routing

#endif
