#ifndef GOOSEBERRYWOOD_GATEWAY_REWARD_RUNNER_HPP
#define GOOSEBERRYWOOD_GATEWAY_REWARD_RUNNER_HPP

#include "gateway/gateway.hpp"

#include <cstddef>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Sends the reward call of a sample whose text is complete; without one the sample is
/// finished.
void score_sample(gateway& self, owned_job& job, std::size_t index);

} // namespace gooseberrywood::gateway

#endif
