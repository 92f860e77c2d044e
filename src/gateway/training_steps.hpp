#ifndef GOOSEBERRYWOOD_GATEWAY_TRAINING_STEPS_HPP
#define GOOSEBERRYWOOD_GATEWAY_TRAINING_STEPS_HPP

#include "gateway/gateway.hpp"
#include "rollout/training_step.hpp"

#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief The batch jobs that this process knows, as training steps.
[[nodiscard]] std::vector<rollout::training_step> training_steps(gateway const& self);

} // namespace gooseberrywood::gateway

#endif
