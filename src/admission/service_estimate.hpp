#ifndef GOOSEBERRYWOOD_ADMISSION_SERVICE_ESTIMATE_HPP
#define GOOSEBERRYWOOD_ADMISSION_SERVICE_ESTIMATE_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Average times of recent completions, from which unreachable deadlines are predicted.
struct service_estimate
{
    /// Microseconds per request; zero until the first completion.
    double request_us = 0;
    /// Microseconds per token of cost.
    double token_us = 0;
};

/// \brief Adds a completion.
void observe(service_estimate& estimate, base::duration total, std::uint32_t cost);

/// \brief Expected time at the upstream of a request with an estimated cost.
[[nodiscard]] base::duration expected_service(service_estimate const& estimate, std::uint32_t cost);

/// \brief Expected time until a number of requests have been served.
/// \param limit number of requests that are served concurrently.
[[nodiscard]] base::duration expected_wait(service_estimate const& estimate, std::size_t ahead,
                                           std::uint32_t limit);

} // namespace gooseberrywood::admission

#endif
