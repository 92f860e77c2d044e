#ifndef GOOSEBERRYWOOD_GATEWAY_PROCESS_LEASE_HPP
#define GOOSEBERRYWOOD_GATEWAY_PROCESS_LEASE_HPP

#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief The lease in the store that this process lives on. What it owns is bound to it.
struct process_lease
{
    /// 0 while there is none.
    std::uint64_t id = 0;
    /// The lease certainly holds until then.
    base::mono_time valid_until{};
    base::mono_time renew_at{};
    /// A call about the lease is running.
    bool busy = false;
};

} // namespace gooseberrywood::gateway

#endif
