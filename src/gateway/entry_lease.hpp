#ifndef GOOSEBERRYWOOD_GATEWAY_ENTRY_LEASE_HPP
#define GOOSEBERRYWOOD_GATEWAY_ENTRY_LEASE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <functional>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief A lease that removes entries of the store after a while. It is not renewed; a new one is
/// granted before it becomes too short for new entries.
struct entry_lease
{
    std::uint64_t id = 0;
    base::mono_time ends_at{};
};

/// \ingroup gateway
/// \brief How long the entries of a lease last.
struct entry_lifetime
{
    base::duration least{};
    /// Length of each lease; longer than `least`, so that several entries share one.
    base::duration most{};
};

/// \ingroup gateway
/// \brief Calls back with the id of a lease that lasts long enough for a new entry, or with 0 when
/// the store has not granted one by the deadline.
/// \param lease must outlive the call.
void with_entry_lease(gateway& self, entry_lease& lease, entry_lifetime const& lifetime,
                      base::mono_time deadline, std::function<void(std::uint64_t)> then);

} // namespace gooseberrywood::gateway

#endif
