#ifndef GOOSEBERRYWOOD_ADMISSION_LATEST_DISPATCH_HPP
#define GOOSEBERRYWOOD_ADMISSION_LATEST_DISPATCH_HPP

#include "base/time.hpp"

#include <algorithm>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Latest time at which an entry should dispatch a request to an upstream; to be used as the
/// deadline in the entry's queue.
///
/// Under overload, a queue serves items that are about to expire. A request that starts with only
/// the average time left misses its deadline every other time, and its work is wasted.
///
/// \param latency average time of a request at the upstreams of its route, from their load reports.
[[nodiscard]] constexpr base::mono_time latest_dispatch(base::mono_time deadline,
                                                        base::mono_time now, base::duration latency)
{
    // One average latency in the upstream's queue and three for the service: 95 % of requests with
    // exponentially distributed lengths take less than three times the average.
    constexpr int latency_multiple = 4;
    // With short deadlines, half of the remaining time is left for waiting.
    return deadline - std::clamp(latency_multiple * latency, base::duration::zero(),
                                 std::max((deadline - now) / 2, base::duration::zero()));
}

} // namespace gooseberrywood::admission

#endif
