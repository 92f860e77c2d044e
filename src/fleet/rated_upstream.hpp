#ifndef GOOSEBERRYWOOD_FLEET_RATED_UPSTREAM_HPP
#define GOOSEBERRYWOOD_FLEET_RATED_UPSTREAM_HPP

#include "base/time.hpp"
#include "fleet/upstream.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <tuple>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief An upstream that may get a request, and how well it suits.
struct rated_upstream
{
    upstream* target = nullptr;
    /// Rank by the rules that take precedence over the cost; lower ranks are better.
    std::uint8_t rank = 0;
    /// Expected time until the request is complete, in any unit that is the same for all.
    double cost = 0;
    /// The upstream is in the failure domain of this process.
    bool is_local = false;
};

/// \ingroup fleet
/// \brief Whether an upstream suits better than another one.
[[nodiscard]] inline bool is_better(rated_upstream const& a, rated_upstream const& b)
{
    return std::tuple(a.rank, a.cost) < std::tuple(b.rank, b.cost);
}

/// \ingroup fleet
/// \brief Chooses among the upstreams that need no permit or have one. Those whose cost is within a
/// tenth of the best one count as equal, and a hash of the request id selects one of their free
/// slots. Marks a better one that lacks only a permit, so that this process asks for a permit.
///
/// Load pattern: many processes place requests at the same time with almost the same measurements.
/// If all chose the upstream that looks best, they would fill it and be refused, and one whose
/// estimate is too low would get all requests.
/// \param max_extra_cost limits what counts as equal where a tenth of the cost is much.
/// \returns index of the chosen one, or the number of candidates when none may be chosen.
[[nodiscard]] std::size_t choose_rated(std::span<rated_upstream const> candidates,
                                       double max_extra_cost, std::string_view request_id,
                                       base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
