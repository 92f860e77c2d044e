#ifndef GOOSEBERRYWOOD_FLEET_TRY_BUDGET_HPP
#define GOOSEBERRYWOOD_FLEET_TRY_BUDGET_HPP

#include "base/time.hpp"

#include <algorithm>
#include <chrono>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Further tries that may be sent in one burst.
inline constexpr double try_burst = 5;

/// \ingroup fleet
/// \brief Budget of a service for further tries, that is, hedges and repeats: a tenth of the
/// requests, and a burst of a few. A process with few requests gets one further try in 5 s, since
/// it can't learn fast enough which upstreams to avoid.
///
/// Load pattern: half of the upstreams become six times slower. A second try helps against one slow
/// upstream; when all are slow, it only adds load.
struct try_budget
{
    double tokens = try_burst;
    base::mono_time refilled_at{};
};

/// \ingroup fleet
/// \brief Records a new request.
inline void note_request(try_budget& budget, base::mono_time now)
{
    constexpr double tries_per_request = 0.1;
    constexpr double tries_per_s = 0.2;
    auto const elapsed_s = std::chrono::duration<double>(now - budget.refilled_at).count();
    budget.refilled_at = now;
    budget.tokens =
        std::min(try_burst, budget.tokens + tries_per_request + elapsed_s * tries_per_s);
}

/// \ingroup fleet
/// \brief Whether a further try may be sent. Reward calls leave half of the burst to callers.
[[nodiscard]] inline bool may_try_again(try_budget const& budget, bool is_reward)
{
    return budget.tokens >= (is_reward ? 1 + try_burst / 2 : 1);
}

/// \ingroup fleet
/// \brief Uses up the budget of one further try.
inline void use_try(try_budget& budget)
{
    budget.tokens = std::max(0.0, budget.tokens - 1);
}

} // namespace gooseberrywood::fleet

#endif
