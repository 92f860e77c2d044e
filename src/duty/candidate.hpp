#ifndef GOOSEBERRYWOOD_DUTY_CANDIDATE_HPP
#define GOOSEBERRYWOOD_DUTY_CANDIDATE_HPP

#include "base/time.hpp"
#include "duty/authority.hpp"

#include <optional>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief A process's part in the leadership. The leader's key in the store is bound to the lease
/// of the process, and its revision is the fencing token.
struct candidate
{
    /// Set while the key is held.
    std::optional<authority> held;
    /// It does not try to lead before this. Two processes must not take turns in short succession,
    /// and after a restart a process does not know whether it has led.
    base::mono_time not_before{};
    /// A transaction on the key is running.
    bool busy = false;
};

/// \ingroup duty
/// \brief The authority to act with, if the process leads.
/// \param lease_deadline until when the lease of the process certainly holds.
[[nodiscard]] std::optional<authority>
active_authority(candidate const& of, base::mono_time lease_deadline, base::mono_time now);

/// \ingroup duty
/// \brief Whether to try to take the key now.
/// \param key_exists some process holds the key, as far as is known.
[[nodiscard]] bool should_campaign(candidate const& of, bool key_exists,
                                   base::mono_time lease_deadline, base::mono_time now);

/// \ingroup duty
/// \brief The key was lost or given up.
/// \param turn shortest time before the process may lead again.
void note_leadership_lost(candidate& of, base::duration turn, base::mono_time now);

} // namespace gooseberrywood::duty

#endif
