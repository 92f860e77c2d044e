#ifndef GOOSEBERRYWOOD_FLEET_ROUTE_KIND_HPP
#define GOOSEBERRYWOOD_FLEET_ROUTE_KIND_HPP

#include <cstdint>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Kind of the requests of a route; determines whether they may be retried.
enum class route_kind : std::uint8_t
{
    /// A request may run more than once.
    idempotent,
    /// A request may run at most once for each attempt of the caller.
    non_idempotent,
    /// The answer is a stream of events.
    streaming,
    /// Callers submit batch jobs, whose samples may run more than once.
    rollout,
};

} // namespace gooseberrywood::fleet

#endif
