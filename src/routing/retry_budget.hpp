#ifndef GOOSEBERRYWOOD_ROUTING_RETRY_BUDGET_HPP
#define GOOSEBERRYWOOD_ROUTING_RETRY_BUDGET_HPP

#include "base/time.hpp"

namespace gooseberrywood::routing
{

/// \brief Retries earned by one request, so that in an outage retries add at most a tenth to the
/// requests that callers sent.
inline constexpr double retry_share = 0.1;

/// \brief Retries per second that are allowed regardless of traffic, so that an entry with little
/// traffic can retry.
inline constexpr double retry_floor_per_second = 10.0;

/// \brief Maximum of saved retries: what an entry at its peak of 3,300 requests/s earns in about a
/// second. More would allow a burst of retries after a long quiet period.
inline constexpr double retry_tokens_max = 300.0;

/// \brief Retries available at the start, and the level up to which the floor rate refills the
/// budget: the number of requests that an entry loses when an upstream with 64 running requests
/// crashes.
inline constexpr double retry_tokens_floor = 64.0;

/// \ingroup routing
/// \brief Token bucket that bounds the retries of an entry.
struct retry_budget
{
    double tokens = retry_tokens_floor;
    base::mono_time refilled_at{};
};

/// \brief Credits the budget for a request of a caller. Retries don't count as requests.
void record_request(retry_budget& budget);

/// \brief Takes one retry from the budget.
/// \returns false when the budget is spent.
[[nodiscard]] bool take_retry(retry_budget& budget, base::mono_time now);

} // namespace gooseberrywood::routing

#endif
