#ifndef GOOSEBERRYWOOD_GATEWAY_LEASE_KEEPER_HPP
#define GOOSEBERRYWOOD_GATEWAY_LEASE_KEEPER_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts to keep a lease in the store; the member entry is bound to it.
void start_lease(gateway& self);

/// \ingroup gateway
/// \brief Gives up the lease, and with it all that is bound to it.
void end_lease(gateway& self);

} // namespace gooseberrywood::gateway

#endif
