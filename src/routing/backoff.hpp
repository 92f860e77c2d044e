#ifndef GOOSEBERRYWOOD_ROUTING_BACKOFF_HPP
#define GOOSEBERRYWOOD_ROUTING_BACKOFF_HPP

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace gooseberrywood::routing
{

/// \brief Longest delay before the first retry: a few round trips between failure domains (1 ms
/// each) and the time in which a new credit report arrives.
inline constexpr base::duration backoff_base = std::chrono::milliseconds(20);

/// \brief Bound of the delay. Longer ones would outlast what usually makes an upstream refuse.
inline constexpr base::duration backoff_max = std::chrono::seconds(2);

/// \brief When to try again: exponential backoff with full jitter, so that requests that failed
/// together don't come back together.
/// \param retries retries made before.
/// \param not_before retry-after of a refusal, or a time in the past.
/// \returns nothing when the time drawn is not before the deadline.
[[nodiscard]] std::optional<base::mono_time> backoff(std::uint32_t retries, base::mono_time now,
                                                     base::mono_time not_before,
                                                     base::mono_time deadline,
                                                     std::mt19937_64& random);

} // namespace gooseberrywood::routing

#endif
