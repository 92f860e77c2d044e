#ifndef GOOSEBERRYWOOD_ADMISSION_ATTEMPT_OUTCOME_HPP
#define GOOSEBERRYWOOD_ADMISSION_ATTEMPT_OUTCOME_HPP

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief How an attempt ended, as far as the limit is concerned.
enum class attempt_outcome : std::uint8_t
{
    /// The upstream answered; the latency counts.
    completed,
    /// The upstream refused for lack of capacity (HTTP 429 or 503) or timed out.
    overloaded,
    /// Another error; neither its latency nor its end says anything about load.
    failed,
    /// Ended on behalf of the caller.
    canceled,
};

} // namespace gooseberrywood::admission

#endif
