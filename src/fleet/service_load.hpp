#ifndef GOOSEBERRYWOOD_FLEET_SERVICE_LOAD_HPP
#define GOOSEBERRYWOOD_FLEET_SERVICE_LOAD_HPP

#include "base/time.hpp"
#include "fleet/pool.hpp"
#include "fleet/service.hpp"

#include <cstdint>
#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Load of a service as one process knows it.
struct service_load
{
    /// Slots of the upstreams that serve.
    std::uint32_t slots = 0;
    /// Requests of this process in progress there.
    std::uint32_t running = 0;
    /// Earliest time at which an upstream may take a request without that another one ends: its
    /// suspension ends, or it gets a permit or cold budget.
    base::mono_time opens_at = base::mono_time::max();
    /// Earliest such time that is known and still to come.
    base::mono_time wake_at = base::mono_time::max();
};

/// \ingroup fleet
/// \brief Determines the load of a service.
/// \param configured null when the configuration does not contain the service.
[[nodiscard]] service_load load_of(pool const& pool, service const* configured,
                                   std::string_view service, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
