#ifndef GOOSEBERRYWOOD_ADMISSION_FINISH_REPORT_HPP
#define GOOSEBERRYWOOD_ADMISSION_FINISH_REPORT_HPP

#include "admission/attempt_outcome.hpp"
#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Report of the end of a running attempt.
struct finish_report
{
    attempt_outcome outcome = attempt_outcome::completed;
    std::uint32_t generated_tokens = 0;
    std::uint32_t prompt_tokens = 0;
    /// From the attempt's start to its first token; zero when the answer was not streamed.
    base::duration first_token{0};
    /// From the attempt's start to its last byte.
    base::duration total{0};
};

} // namespace gooseberrywood::admission

#endif
