#ifndef GOOSEBERRYWOOD_ROLLOUT_MODEL_DEMAND_HPP
#define GOOSEBERRYWOOD_ROLLOUT_MODEL_DEMAND_HPP

#include "rollout/training_step.hpp"

#include <map>
#include <span>
#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Expected number of output tokens per training step, by model.
using model_demand = std::map<std::string, double, std::less<>>;

/// \ingroup rollout
/// \brief Computes the demand from the most recent steps of each model.
/// \param steps in any order, including steps that have ended.
[[nodiscard]] model_demand recent_demand(std::span<training_step const> steps);

} // namespace gooseberrywood::rollout

#endif
