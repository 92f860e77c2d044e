#ifndef GOOSEBERRYWOOD_ROLLOUT_TRAINING_STEP_HPP
#define GOOSEBERRYWOOD_ROLLOUT_TRAINING_STEP_HPP

#include "base/time.hpp"
#include "rollout/job_record.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
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
    /// Set while it is open although its results are due.
    bool is_late = false;
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

/// \ingroup rollout
/// \brief Median time between two submissions of steps, by model. A model with less than two steps
/// has no entry.
using step_intervals = std::map<std::string, base::duration, std::less<>>;

/// \ingroup rollout
/// \brief Learns the time between the steps of each model.
/// \param steps in any order, including steps that have ended.
[[nodiscard]] step_intervals median_intervals(std::span<training_step const> steps);

} // namespace gooseberrywood::rollout

#endif
