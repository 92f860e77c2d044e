#ifndef GOOSEBERRYWOOD_ROUTING_ROUTE_CANDIDATES_HPP
#define GOOSEBERRYWOOD_ROUTING_ROUTE_CANDIDATES_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Position of one candidate on the hash ring.
struct ring_point
{
    std::uint64_t point = 0;
    std::uint32_t upstream = 0;
};

/// \ingroup routing
/// \brief Candidates of a route. They are updated with each change of an upstream, so that a
/// request never scans the table.
struct route_candidates
{
    std::string name;
    /// Upstreams that are connected and accepting, whose domain is not out and whose host is not
    /// leaving, sorted by point. Credit is not a condition, since it changes with each request and
    /// an insertion moves half of the ring.
    std::vector<ring_point> ring;
    /// Upstreams of the ring that have credit left, unordered.
    std::vector<std::uint32_t> with_credit;
    /// Sums over the ring, from which the mean load is computed.
    std::uint64_t total_load = 0;
    std::uint64_t total_limit = 0;
};

} // namespace gooseberrywood::routing

#endif
