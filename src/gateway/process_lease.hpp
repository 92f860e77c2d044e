#ifndef GOOSEBERRYWOOD_GATEWAY_PROCESS_LEASE_HPP
#define GOOSEBERRYWOOD_GATEWAY_PROCESS_LEASE_HPP

#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief This process's lease in the store. The entries that the process owns are bound to it.
struct process_lease
{
    /// 0 while no lease is held.
    std::uint64_t id = 0;
    /// The lease is certain to hold until this time.
    base::mono_time valid_until{};
    base::mono_time renew_at{};
    /// A grant or renew call is in flight.
    bool call_pending = false;
};

} // namespace gooseberrywood::gateway

#endif
