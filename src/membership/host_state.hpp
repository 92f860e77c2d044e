#ifndef GOOSEBERRYWOOD_MEMBERSHIP_HOST_STATE_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_HOST_STATE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::membership
{

/// \ingroup membership
/// \brief What an entry knows of one upstream host.
struct host_state
{
    std::string domain;
    /// True once the host was in the platform's list; a host that vanishes from it is leaving.
    bool listed = false;
    /// Stays set until the host's agent restarts: the platform's list lags, so an older "live"
    /// may arrive after a newer "leaving".
    bool leaving = false;
    bool connected = false;
    /// The agent refuses work by itself.
    bool refusing = false;
    std::uint64_t incarnation = 0;
    /// Without a further frame the host is silent from then on.
    base::mono_time heard_until = base::mono_time::min();
    /// When the host last came (back) into service; its ramp starts there.
    base::mono_time fresh_since = base::mono_time::min();
};

} // namespace gooseberrywood::membership

#endif
