#ifndef GOOSEBERRYWOOD_ROLLOUT_MODEL_DEMAND_HPP
#define GOOSEBERRYWOOD_ROLLOUT_MODEL_DEMAND_HPP

#include "rollout/job_record.hpp"

#include <map>
#include <span>
#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Expected number of output tokens per training step, by model.
using model_demand = std::map<std::string, double, std::less<>>;

/// \ingroup rollout
/// \brief Computes the demand from the most recent jobs of each model.
/// \param records jobs in any order, including jobs that have ended.
[[nodiscard]] model_demand recent_demand(std::span<job_record const* const> records);

} // namespace gooseberrywood::rollout

#endif
