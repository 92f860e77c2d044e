#ifndef GOOSEBERRYWOOD_GATEWAY_HAND_OVER_HPP
#define GOOSEBERRYWOOD_GATEWAY_HAND_OVER_HPP

#include "gateway/gateway.hpp"

#include <functional>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Leaves all jobs to other processes, with the text that was generated so far.
/// \param then called when the store has answered, or can't be reached.
void hand_over_jobs(gateway& self, std::function<void()> then);

} // namespace gooseberrywood::gateway

#endif
