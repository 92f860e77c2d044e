#ifndef GOOSEBERRYWOOD_ADMISSION_LATEST_DISPATCH_HPP
#define GOOSEBERRYWOOD_ADMISSION_LATEST_DISPATCH_HPP

#include "base/time.hpp"

#include <algorithm>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Until when an entry should hand a request to an upstream; to be used as the deadline in
/// the entry's queue.
///
/// Under overload, a queue serves what is about to expire. A request that starts with just the
/// average time left misses its deadline every other time, and its work is lost.
///
/// \param latency average time of a request at the upstreams of its route, from their load reports.
[[nodiscard]] constexpr base::mono_time latest_dispatch(base::mono_time deadline,
                                                        base::mono_time now, base::duration latency)
{
    // One average time in the upstream's queue and three at work: 95 % of requests with
    // exponentially distributed lengths take less than three times the average.
    constexpr int latency_multiple = 4;
    // Where deadlines are short, waiting still gets half of the time.
    return deadline - std::clamp(latency_multiple * latency, base::duration::zero(),
                                 std::max((deadline - now) / 2, base::duration::zero()));
}

} // namespace gooseberrywood::admission

#endif
