#ifndef GOOSEBERRYWOOD_STORE_DIRECT_PATH_HPP
#define GOOSEBERRYWOOD_STORE_DIRECT_PATH_HPP

#include "base/time.hpp"

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Health of the direct network path from this process to the store.
struct direct_path
{
    /// Until this time, calls are relayed through other processes.
    base::mono_time relay_until = base::mono_time::min();
    base::mono_time last_success_at = base::mono_time::min();
    bool failing = false;
};

/// \ingroup store
/// \brief Whether the next call should be sent directly to the store. While the path fails, a call
/// is sent directly from time to time to detect that the path has recovered.
[[nodiscard]] bool should_call_directly(direct_path const& path, base::mono_time now);

/// \ingroup store
/// \brief Records the outcome of a call that was sent directly to the store.
/// \param served whether the store responded and did not reject the call.
/// \returns whether this call changed the state of the path between working and failing.
bool record_direct_call(direct_path& path, bool served, base::mono_time now);

/// \ingroup store
/// \brief Records that no other process could relay a call. The next call is sent directly.
void record_relay_failure(direct_path& path);

/// \ingroup store
/// \brief Whether this process may relay calls for other processes: only while its own path works.
/// This prevents processes from relaying each other's calls in circles during a store outage.
[[nodiscard]] bool may_relay(direct_path const& path, base::mono_time now);

} // namespace gooseberrywood::store

#endif
