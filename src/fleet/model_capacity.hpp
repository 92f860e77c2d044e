#ifndef GOOSEBERRYWOOD_FLEET_MODEL_CAPACITY_HPP
#define GOOSEBERRYWOOD_FLEET_MODEL_CAPACITY_HPP

#include "base/time.hpp"
#include "fleet/pool.hpp"

#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief What the upstreams that may run samples of a model can do at present.
struct model_capacity
{
    /// Samples that they process concurrently, for all processes together, in slots of the median
    /// speed: a slot of an upstream that takes twice the median time counts half.
    double slots = 0;
    /// Median of the measured times between two events, and the shortest one.
    base::duration event_time{};
    base::duration fastest_event_time{};
};

/// \ingroup fleet
/// \brief Finds the capacity of the upstreams of a service that are assigned to a model. Upstreams
/// that get no samples at present do not count.
[[nodiscard]] model_capacity capacity_for(pool const& pool, std::string_view service,
                                          std::string_view model, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
