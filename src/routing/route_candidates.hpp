#ifndef GOOSEBERRYWOOD_ROUTING_ROUTE_CANDIDATES_HPP
#define GOOSEBERRYWOOD_ROUTING_ROUTE_CANDIDATES_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Place of one candidate on the hash ring.
struct ring_point
{
    std::uint64_t point = 0;
    std::uint32_t upstream = 0;
};

/// \ingroup routing
/// \brief The candidates of a route. Kept up to date with each change of an upstream, so that a
/// request never scans the table.
struct route_candidates
{
    std::string name;
    /// Connected, accepting, domain in, host not leaving; ascending by point. Credit is not part of
    /// the condition, since it changes with each request and an insertion moves half the ring.
    std::vector<ring_point> ring;
    /// Those of the ring that have credit left, in no order.
    std::vector<std::uint32_t> with_credit;
    /// Sums over the ring; the mean load follows from them.
    std::uint64_t total_load = 0;
    std::uint64_t total_limit = 0;
};

} // namespace gooseberrywood::routing

#endif
