#ifndef GOOSEBERRYWOOD_ROLLOUT_TRAINING_STEP_HPP
#define GOOSEBERRYWOOD_ROLLOUT_TRAINING_STEP_HPP

#include "base/time.hpp"
#include "rollout/job_record.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief What the distribution of the upstreams among the models depends on, of one batch job.
struct training_step
{
    std::string model;
    base::wall_time submitted_at{};
    /// Set while the caller still waits for results.
    bool is_open = false;
    /// Oldest version of the weights that is accepted.
    std::uint32_t least_version = 0;
    /// Expected number of output tokens of all samples together.
    double expected_tokens = 0;
};

/// \ingroup rollout
/// \brief Describes a job as a training step.
/// \param run_target time after the submission at which all results are due. A step that is much
/// older than that is not open: its caller has given up without ending it.
[[nodiscard]] training_step step_of(job_record const& record, base::duration run_target,
                                    base::wall_time now);

} // namespace gooseberrywood::rollout

#endif
