#ifndef GOOSEBERRYWOOD_FLEET_SERVICE_HPP
#define GOOSEBERRYWOOD_FLEET_SERVICE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief A service that upstreams belong to.
struct service
{
    std::string name;
    /// Requests a second that a cold upstream bears; 0 for no limit.
    double cold_requests_per_s = 0;
    /// Models whose weights the upstreams hold; empty for plain services.
    std::vector<std::string> models;
};

} // namespace gooseberrywood::fleet

#endif
