#include "fleet/try_outcome.hpp"

namespace gooseberrywood::fleet
{

next_step decide_next_step(try_summary const& summary)
{
    if (summary.last == try_outcome::answered)
    {
        return next_step::deliver;
    }
    bool const may_run_again =
        summary.runs == 0 || (summary.idempotent && summary.runs < summary.max_runs);
    if (may_run_again && summary.has_time)
    {
        return next_step::try_elsewhere;
    }
    if (summary.running > 0)
    {
        return next_step::wait;
    }
    if (summary.last == try_outcome::failed)
    {
        return next_step::deliver;
    }
    return summary.runs == 0 ? next_step::refuse : next_step::give_up;
}

} // namespace gooseberrywood::fleet
