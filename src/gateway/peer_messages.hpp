#ifndef GOOSEBERRYWOOD_GATEWAY_PEER_MESSAGES_HPP
#define GOOSEBERRYWOOD_GATEWAY_PEER_MESSAGES_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts to take messages of other gateways: notices of jobs and calls to the store.
[[nodiscard]] base::result<void> start_peer_messages(gateway& self);

} // namespace gooseberrywood::gateway

#endif
