#ifndef GOOSEBERRYWOOD_FLEET_ROUTE_HPP
#define GOOSEBERRYWOOD_FLEET_ROUTE_HPP

#include "base/time.hpp"
#include "fleet/route_kind.hpp"
#include "fleet/service_share.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief One route of the configuration.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::non_idempotent;
    /// Maximum time to wait for the answer to a request.
    base::duration timeout = std::chrono::seconds(30);
    base::duration target_latency = std::chrono::seconds(1);
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Services among which the requests of the route are split; at least one.
    std::vector<service_share> services;
    /// Maximum number of upstreams on which one request may run.
    std::uint32_t attempts = 1;
    /// Set when requests need no key.
    bool open = false;
    /// Set when one version of the weights must generate all events of a sample.
    bool single_version = false;
    /// Time after the first submission of a batch job at which all its results are due.
    base::duration run_target = std::chrono::seconds(30);
    /// Time after the submission at which a sample may be given up.
    base::duration retention = std::chrono::seconds(60);
};

} // namespace gooseberrywood::fleet

#endif
