#include "routing/retry_budget.hpp"

#include <algorithm>

namespace gooseberrywood::routing
{

void record_request(retry_budget& budget)
{
    budget.tokens = std::min(budget.tokens + retry_share, retry_tokens_max);
}

bool take_retry(retry_budget& budget, base::mono_time now)
{
    if (now > budget.refilled_at)
    {
        std::chrono::duration<double> const passed = now - budget.refilled_at;
        budget.refilled_at = now;
        if (budget.tokens < retry_tokens_floor)
        {
            budget.tokens = std::min(budget.tokens + passed.count() * retry_floor_per_second,
                                     retry_tokens_floor);
        }
    }
    if (budget.tokens < 1.0)
    {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace gooseberrywood::routing
