#ifndef GOOSEBERRYWOOD_FLEET_SERVICE_HPP
#define GOOSEBERRYWOOD_FLEET_SERVICE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief A service; each upstream belongs to one.
struct service
{
    std::string name;
    /// Maximum rate of requests to a cold upstream, per second; 0 for no limit.
    double cold_requests_per_s = 0;
    /// Models that the upstreams serve; empty for a service without models.
    std::vector<std::string> models;
    /// Number of tokens that one event of a stream carries.
    std::uint32_t tokens_per_event = 32;
};

} // namespace gooseberrywood::fleet

#endif
