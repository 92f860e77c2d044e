#ifndef GOOSEBERRYWOOD_FLEET_SERVICE_SHARE_HPP
#define GOOSEBERRYWOOD_FLEET_SERVICE_SHARE_HPP

#include <string>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Part of a route's requests that goes to a service.
struct service_share
{
    std::string service;
    /// Relative to the other shares of the route.
    double weight = 1;
};

} // namespace gooseberrywood::fleet

#endif
