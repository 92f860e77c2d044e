#ifndef GOOSEBERRYWOOD_DUTY_CANDIDATE_HPP
#define GOOSEBERRYWOOD_DUTY_CANDIDATE_HPP

#include "base/time.hpp"
#include "duty/authority.hpp"

#include <optional>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief State of a process in the leader election. The leader holds a key in the store that is
/// bound to the lease of the process; the revision of the key is the fencing token.
struct candidate
{
    /// Set while the process holds the key.
    std::optional<authority> held;
    /// Earliest time at which the process may campaign. Leaders must not alternate in short
    /// succession, and a restarted process does not know whether it was the leader before.
    base::mono_time not_before{};
    /// Set while a transaction on the key is in progress.
    bool busy = false;
};

/// \ingroup duty
/// \brief The authority with which the process may act, if it is the leader.
/// \param lease_deadline time until which the lease of the process is known to be valid.
[[nodiscard]] std::optional<authority>
active_authority(candidate const& candidate, base::mono_time lease_deadline, base::mono_time now);

/// \ingroup duty
/// \brief Whether the process should try to acquire the leader's key now.
/// \param key_exists whether any process is known to hold the key.
[[nodiscard]] bool should_campaign(candidate const& candidate, bool key_exists,
                                   base::mono_time lease_deadline, base::mono_time now);

/// \ingroup duty
/// \brief Records that the process has lost the key or released it.
/// \param turn minimum time before the process may lead again.
void note_leadership_lost(candidate& candidate, base::duration turn, base::mono_time now);

} // namespace gooseberrywood::duty

#endif
