#ifndef GOOSEBERRYWOOD_ADMISSION_ATTEMPT_OUTCOME_HPP
#define GOOSEBERRYWOOD_ADMISSION_ATTEMPT_OUTCOME_HPP

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Outcome of an attempt, as far as it concerns the concurrency limit.
enum class attempt_outcome : std::uint8_t
{
    /// The upstream answered; the latency counts.
    completed,
    /// The upstream refused for lack of capacity (HTTP 429 or 503) or timed out.
    overloaded,
    /// Other error; neither its latency nor its occurrence is evidence of load.
    failed,
    /// Canceled on behalf of the caller.
    canceled,
};

} // namespace gooseberrywood::admission

#endif
