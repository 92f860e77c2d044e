#ifndef GOOSEBERRYWOOD_GATEWAY_HAND_OVER_HPP
#define GOOSEBERRYWOOD_GATEWAY_HAND_OVER_HPP

#include "gateway/gateway.hpp"

#include <functional>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Releases the ownership of all jobs and stores the text generated so far, so that other
/// processes can resume them.
/// \param then called once every store call has completed or failed.
void hand_over_jobs(gateway& self, std::function<void()> then);

} // namespace gooseberrywood::gateway

#endif
