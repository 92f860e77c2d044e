#ifndef GOOSEBERRYWOOD_FLEET_ROUTE_KIND_HPP
#define GOOSEBERRYWOOD_FLEET_ROUTE_KIND_HPP

#include <cstdint>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief What may be done again with a request of a route.
enum class route_kind : std::uint8_t
{
    /// May run more than once.
    idempotent,
    /// May run at most once for each attempt of the caller.
    non_idempotent,
    /// The answer is a series of events.
    streaming,
    /// Callers submit batch jobs; their items may run more than once.
    rollout,
};

} // namespace gooseberrywood::fleet

#endif
