#ifndef GOOSEBERRYWOOD_GATEWAY_REWARD_RUNNER_HPP
#define GOOSEBERRYWOOD_GATEWAY_REWARD_RUNNER_HPP

#include "gateway/gateway.hpp"

#include <cstddef>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Sends the reward call of a sample whose text is complete. A sample without a reward call
/// is finished at once.
void score_sample(gateway& self, owned_job& job, std::size_t index);

} // namespace gooseberrywood::gateway

#endif
