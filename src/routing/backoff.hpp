#ifndef GOOSEBERRYWOOD_ROUTING_BACKOFF_HPP
#define GOOSEBERRYWOOD_ROUTING_BACKOFF_HPP

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace gooseberrywood::routing
{

/// \brief Maximum delay before the first retry: a few round trips between failure domains (1 ms
/// each) plus the time until a new credit report arrives.
inline constexpr base::duration backoff_base = std::chrono::milliseconds(20);

/// \brief Maximum delay before any retry. Longer delays would outlast the usual causes of a
/// refusal.
inline constexpr base::duration backoff_max = std::chrono::seconds(2);

/// \brief Computes the time of the next retry by exponential backoff with full jitter, so that
/// requests that failed together are not retried together.
/// \param retries number of earlier retries.
/// \param not_before retry-after of a refusal, or a time in the past.
/// \returns nothing when the chosen time is not before the deadline.
[[nodiscard]] std::optional<base::mono_time> backoff(std::uint32_t retries, base::mono_time now,
                                                     base::mono_time not_before,
                                                     base::mono_time deadline,
                                                     std::mt19937_64& random);

} // namespace gooseberrywood::routing

#endif
