#ifndef GOOSEBERRYWOOD_GATEWAY_LEASE_KEEPER_HPP
#define GOOSEBERRYWOOD_GATEWAY_LEASE_KEEPER_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts to acquire and renew this process's lease in the store. The member entry is bound
/// to the lease.
void start_lease(gateway& self);

/// \ingroup gateway
/// \brief Revokes the lease; the store removes all entries that are bound to it.
void revoke_lease(gateway& self);

} // namespace gooseberrywood::gateway

#endif
