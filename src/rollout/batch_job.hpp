#ifndef GOOSEBERRYWOOD_ROLLOUT_BATCH_JOB_HPP
#define GOOSEBERRYWOOD_ROLLOUT_BATCH_JOB_HPP

#include "rollout/sample_spec.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief A batch job as submitted. A trainer submits one job per training step.
struct batch_job
{
    /// Oldest version of the weights that may generate a sample; 0 accepts any version.
    std::uint32_t least_version = 0;
    /// Number of complete groups after which the trainer ends the job; absent for all.
    std::optional<std::size_t> desired_groups;
    std::vector<sample_spec> samples;
};

} // namespace gooseberrywood::rollout

#endif
