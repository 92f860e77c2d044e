#ifndef GOOSEBERRYWOOD_STORE_DIRECT_PATH_HPP
#define GOOSEBERRYWOOD_STORE_DIRECT_PATH_HPP

#include "base/time.hpp"

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief What a process knows of its own path to the store.
struct direct_path
{
    /// Calls are sent through other processes until then.
    base::mono_time avoided_until = base::mono_time::min();
    base::mono_time served_at = base::mono_time::min();
    bool failing = false;
};

/// \ingroup store
/// \brief Whether the next call goes to the store itself. From time to time one does although the
/// path fails, which shows when it works again.
[[nodiscard]] bool should_call_directly(direct_path const& of, base::mono_time now);

/// \ingroup store
/// \brief Notes the outcome of a call that went to the store itself.
/// \param served the store answered and did not turn the call away.
/// \returns whether the path has failed or recovered with this call.
bool record_direct_call(direct_path& of, bool served, base::mono_time now);

/// \ingroup store
/// \brief Notes that no other process could help. The next call goes to the store itself.
void record_relay_failure(direct_path& of);

/// \ingroup store
/// \brief Whether to make calls for other processes: the own path works. While the store is down
/// for all, processes must not pass each other's calls around.
[[nodiscard]] bool may_relay(direct_path const& of, base::mono_time now);

} // namespace gooseberrywood::store

#endif
