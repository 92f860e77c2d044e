#ifndef GOOSEBERRYWOOD_PROVIDER_LEASE_STATE_HPP
#define GOOSEBERRYWOOD_PROVIDER_LEASE_STATE_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief State of a lease in the store.
struct lease_state
{
    /// Empty when the lease has no holder.
    std::string holder;
    /// Fencing number of the current or the last grant. It increases with each acquisition; a
    /// renewal keeps it.
    std::uint64_t fencing = 0;

    friend bool operator==(lease_state const&, lease_state const&) = default;
};

} // namespace gooseberrywood::provider

#endif
