#include "routing/backoff.hpp"

#include <algorithm>

namespace gooseberrywood::routing
{

std::optional<base::mono_time> backoff(std::uint32_t retries, base::mono_time now,
                                       base::mono_time not_before, base::mono_time deadline,
                                       std::mt19937_64& random)
{
    // The cap of 20 doublings is far above `backoff_max` and prevents an overflow.
    auto const longest = std::min(backoff_base * (1U << std::min(retries, 20U)), backoff_max);
    std::uniform_int_distribution<std::int64_t> jitter(0, longest.count());
    auto const retry_at = std::max(now, not_before) + base::duration(jitter(random));
    if (retry_at >= deadline)
    {
        return std::nullopt;
    }
    return retry_at;
}

} // namespace gooseberrywood::routing
