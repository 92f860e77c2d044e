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
/// \brief Computes the demand of each model: the mean of its recent steps and, if an open step
/// before the newest one is late, the work that is left in those steps.
///
/// Load pattern: when engines fail or slow down, the steps of one model overlap more and more while
/// others end in time.
/// \param steps in any order, including steps that have ended.
[[nodiscard]] model_demand recent_demand(std::span<training_step const> steps);

} // namespace gooseberrywood::rollout

#endif
