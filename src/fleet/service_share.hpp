#ifndef GOOSEBERRYWOOD_FLEET_SERVICE_SHARE_HPP
#define GOOSEBERRYWOOD_FLEET_SERVICE_SHARE_HPP

#include <string>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Share of a route's requests that is sent to a service.
struct service_share
{
    std::string service;
    /// Weight relative to the other shares of the route.
    double weight = 1;
};

} // namespace gooseberrywood::fleet

#endif
