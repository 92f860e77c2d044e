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
    /// Longest time that a request may wait for its answer.
    base::duration timeout = std::chrono::seconds(30);
    base::duration target_latency = std::chrono::seconds(1);
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Services that share the requests of the route; at least one.
    std::vector<service_share> services;
    /// Most upstreams that one request may run on.
    std::uint32_t attempts = 1;
    /// Requests need no key.
    bool open = false;
    /// All events of a sample must have been made under one version of the weights.
    bool single_version = false;
    /// All results of a batch job are due this long after its first submission.
    base::duration run_target = std::chrono::seconds(30);
    /// An item may be given up this long after the submission.
    base::duration retention = std::chrono::seconds(60);
};

} // namespace gooseberrywood::fleet

#endif
