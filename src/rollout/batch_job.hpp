#ifndef GOOSEBERRYWOOD_ROLLOUT_BATCH_JOB_HPP
#define GOOSEBERRYWOOD_ROLLOUT_BATCH_JOB_HPP

#include "rollout/sample_spec.hpp"

#include <cstdint>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief A batch job as submitted: for a trainer, one step.
struct batch_job
{
    /// Oldest version of the weights that may generate a sample; 0 when any may.
    std::uint32_t least_version = 0;
    std::vector<sample_spec> samples;
};

} // namespace gooseberrywood::rollout

#endif
