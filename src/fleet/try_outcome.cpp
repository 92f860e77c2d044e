#include "fleet/try_outcome.hpp"

namespace gooseberrywood::fleet
{

next_step decide_next_step(try_summary const& of)
{
    if (of.last == try_outcome::answered)
    {
        return next_step::deliver;
    }
    bool const may_run_again = of.runs == 0 || (of.idempotent && of.runs < of.most_runs);
    if (may_run_again && of.has_time)
    {
        return next_step::try_elsewhere;
    }
    if (of.running > 0)
    {
        return next_step::wait;
    }
    if (of.last == try_outcome::failed)
    {
        return next_step::deliver;
    }
    return of.runs == 0 ? next_step::refuse : next_step::give_up;
}

} // namespace gooseberrywood::fleet
