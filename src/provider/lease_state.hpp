#ifndef GOOSEBERRYWOOD_PROVIDER_LEASE_STATE_HPP
#define GOOSEBERRYWOOD_PROVIDER_LEASE_STATE_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief A lease as the store sees it.
struct lease_state
{
    /// Empty when nobody holds the lease.
    std::string holder;
    /// Number of the current or the last grant. Each acquisition gets a higher one; a renewal keeps
    /// it.
    std::uint64_t fencing = 0;

    friend bool operator==(lease_state const&, lease_state const&) = default;
};

} // namespace gooseberrywood::provider

#endif
