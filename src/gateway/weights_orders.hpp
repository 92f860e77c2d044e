#ifndef GOOSEBERRYWOOD_GATEWAY_WEIGHTS_ORDERS_HPP
#define GOOSEBERRYWOOD_GATEWAY_WEIGHTS_ORDERS_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Assigns models to upstreams and sends the weights orders that are due. Called on the
/// leader only.
/// \param authority fencing token under which the orders are sent.
void order_weights(gateway& self, duty::authority const& authority, base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
