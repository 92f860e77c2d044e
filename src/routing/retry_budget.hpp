#ifndef GOOSEBERRYWOOD_ROUTING_RETRY_BUDGET_HPP
#define GOOSEBERRYWOOD_ROUTING_RETRY_BUDGET_HPP

#include "base/time.hpp"

namespace gooseberrywood::routing
{

/// \brief Retries earned by one request. In an outage the upstreams then see at most a tenth more
/// requests than callers sent.
inline constexpr double retry_share = 0.1;

/// \brief Retries a second that are allowed whatever the traffic, so that a quiet entry can retry.
inline constexpr double retry_floor_per_second = 10.0;

/// \brief Most saved retries: what an entry at its peak of 3,300 requests/s earns in about a
/// second. More would let a long quiet time pay for a burst of retries.
inline constexpr double retry_tokens_max = 300.0;

/// \brief Retries available at the start and restored by the floor: what one entry loses when an
/// upstream with 64 running requests crashes.
inline constexpr double retry_tokens_floor = 64.0;

/// \ingroup routing
/// \brief Token bucket that bounds the retries of an entry.
struct retry_budget
{
    double tokens = retry_tokens_floor;
    base::mono_time refilled_at{};
};

/// \brief Counts a request of a caller; retries are not counted.
void record_request(retry_budget& budget);

/// \brief Takes one retry out of the budget.
/// \returns false when the budget is spent.
[[nodiscard]] bool take_retry(retry_budget& budget, base::mono_time now);

} // namespace gooseberrywood::routing

#endif
