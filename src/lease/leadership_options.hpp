#ifndef GOOSEBERRYWOOD_LEASE_LEADERSHIP_OPTIONS_HPP
#define GOOSEBERRYWOOD_LEASE_LEADERSHIP_OPTIONS_HPP

#include "base/time.hpp"

#include <string>

namespace gooseberrywood::lease
{

/// \ingroup lease
/// \brief Options of a leader election. All candidates must use the same values, except for
/// `holder`.
struct leadership_options
{
    /// Name of the lease in the store.
    std::string lease;
    /// Identifies this process uniquely, also among earlier processes on this host: host and
    /// incarnation.
    std::string holder;
    /// At least 1 s, so that most of it remains after the drift margin is subtracted.
    base::duration lease_duration = std::chrono::seconds(10);
    /// Maximum time from the check of `may_act` to the end of the order that it permitted.
    base::duration max_order_duration = std::chrono::seconds(5);
};

} // namespace gooseberrywood::lease

#endif
