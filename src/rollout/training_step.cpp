#include "rollout/training_step.hpp"

namespace gooseberrywood::rollout
{

namespace
{

// Trainers give up after 1.6 times the time in which results are due. A step whose end was lost
// counts as open up to this multiple.
constexpr int max_open_run_targets = 2;

} // namespace

training_step step_of(job_record const& record, base::duration run_target, base::wall_time now)
{
    bool const is_open =
        !record.ended && now < record.submitted_at + max_open_run_targets * run_target;
    return {record.model, record.submitted_at, is_open, record.least_version,
            static_cast<double>(record.expected_tokens)};
}

} // namespace gooseberrywood::rollout
