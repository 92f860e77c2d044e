#ifndef GOOSEBERRYWOOD_ADMISSION_LATENCY_SAMPLE_HPP
#define GOOSEBERRYWOOD_ADMISSION_LATENCY_SAMPLE_HPP

#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Latency of one completed attempt at the upstream, without its wait in the queue.
struct latency_sample
{
    base::mono_time started_at{};
    /// Time to the first token; zero when the answer was not streamed.
    base::duration first_token{0};
    /// Time to the last byte.
    base::duration total{0};
    /// Generated tokens; zero for plain services.
    std::uint32_t generated_tokens = 0;
    std::uint32_t prompt_tokens = 0;
};

} // namespace gooseberrywood::admission

#endif
