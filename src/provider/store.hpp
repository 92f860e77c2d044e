#ifndef GOOSEBERRYWOOD_PROVIDER_STORE_HPP
#define GOOSEBERRYWOOD_PROVIDER_STORE_HPP

#include "base/time.hpp"
#include "provider/done.hpp"
#include "provider/lease_state.hpp"
#include "provider/versioned_value.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief The platform's key-value store.
///
/// Every call has a deadline and reports one of these errors: `store_unavailable` (nothing was
/// written), `store_outcome_unknown` (only for calls that write: the response was lost; the write
/// may have taken effect or may still do so), `platform_refused`, and those named below.
struct store
{
    /// Reads the value of a key. A key that does not exist has revision 0.
    std::function<void(std::string const& key, base::mono_time deadline, done<versioned_value>)>
        read;

    /// Writes a value if the key still has the expected revision; 0 creates the key. Yields
    /// the new revision, or `compare_failed`.
    std::function<void(std::string const& key, std::uint64_t expected, std::string const& value,
                       base::mono_time deadline, done<std::uint64_t>)>
        compare_and_swap;

    /// Waits until the key has a revision above the given one. Yields `timeout` when it has none
    /// by the deadline.
    std::function<void(std::string const& key, std::uint64_t above, base::mono_time deadline,
                       done<versioned_value>)>
        watch;

    /// Acquires a free or expired lease. Yields the fencing number, or `compare_failed` when
    /// another holder has the lease.
    std::function<void(std::string const& lease, std::string const& holder, base::duration length,
                       base::mono_time deadline, done<std::uint64_t>)>
        acquire_lease;

    /// Extends a lease that is still held under this fencing number. Yields `lease_lost` when it
    /// is not.
    std::function<void(std::string const& lease, std::string const& holder, std::uint64_t fencing,
                       base::duration length, base::mono_time deadline, done<void>)>
        renew_lease;

    /// Releases a lease. Also succeeds when the lease is not held under this fencing number.
    std::function<void(std::string const& lease, std::string const& holder, std::uint64_t fencing,
                       base::mono_time deadline, done<void>)>
        release_lease;

    /// Reads the state of a lease.
    std::function<void(std::string const& lease, base::mono_time deadline, done<lease_state>)>
        read_lease;
};

} // namespace gooseberrywood::provider

#endif
