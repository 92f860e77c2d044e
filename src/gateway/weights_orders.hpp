#ifndef GOOSEBERRYWOOD_GATEWAY_WEIGHTS_ORDERS_HPP
#define GOOSEBERRYWOOD_GATEWAY_WEIGHTS_ORDERS_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Sends the orders that are due.
void order_weights(gateway& self, duty::authority const& as, base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
