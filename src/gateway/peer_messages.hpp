#ifndef GOOSEBERRYWOOD_GATEWAY_PEER_MESSAGES_HPP
#define GOOSEBERRYWOOD_GATEWAY_PEER_MESSAGES_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts to listen for other gateways and to dispatch their messages: job notices, relayed
/// store calls and list requests.
/// \returns an error when the port can't be opened.
[[nodiscard]] base::result<void> start_peer_messages(gateway& self);

} // namespace gooseberrywood::gateway

#endif
