#ifndef GOOSEBERRYWOOD_MEMBERSHIP_HOST_STATE_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_HOST_STATE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::membership
{

/// \ingroup membership
/// \brief State of one upstream host as known to an entry.
struct host_state
{
    std::string domain;
    /// Whether the host is in the platform's list. A listed host that is later missing is leaving.
    bool listed = false;
    /// Stays set until the host's agent restarts: the platform's list lags, so an outdated list
    /// without the mark may arrive after a newer one with it.
    bool leaving = false;
    bool connected = false;
    /// The agent has reported that it refuses work.
    bool refusing = false;
    std::uint64_t incarnation = 0;
    /// Time from which the host counts as silent unless another frame arrives.
    base::mono_time silent_from = base::mono_time::min();
    /// When the host last entered or re-entered service; its warm-up starts then.
    base::mono_time warm_up_start = base::mono_time::min();
};

} // namespace gooseberrywood::membership

#endif
