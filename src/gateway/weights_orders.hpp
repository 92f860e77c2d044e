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

/// \ingroup gateway
/// \brief Sends the weights orders that are due as soon as the loop has handled what is pending, if
/// this process leads. Called when a new version or the outcome of an order is known: the loads are
/// the scarcest resource, so no time may pass between two of them.
void order_weights_soon(gateway& self);

} // namespace gooseberrywood::gateway

#endif
