#ifndef GOOSEBERRYWOOD_LEASE_LEADERSHIP_OPTIONS_HPP
#define GOOSEBERRYWOOD_LEASE_LEADERSHIP_OPTIONS_HPP

#include "base/time.hpp"

#include <string>

namespace gooseberrywood::lease
{

/// \ingroup lease
/// \brief What leadership is for. All candidates must use the same lease, length and longest order.
struct leadership_options
{
    /// Name of the lease in the store.
    std::string lease;
    /// Names this process and no other, also no earlier one on this host: host and incarnation.
    std::string holder;
    /// At least 1 s, so that the drift margin leaves most of it.
    base::duration length = std::chrono::seconds(10);
    /// Longest time from `may_act` to the end of what was begun.
    base::duration longest_order = std::chrono::seconds(5);
};

} // namespace gooseberrywood::lease

#endif
