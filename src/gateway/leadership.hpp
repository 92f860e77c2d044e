#ifndef GOOSEBERRYWOOD_GATEWAY_LEADERSHIP_HPP
#define GOOSEBERRYWOOD_GATEWAY_LEADERSHIP_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts the timer that performs the leader's duties while this process leads. After a
/// restart the process does not apply for the leadership before `leader_turn` has passed.
void start_leadership(gateway& self);

/// \ingroup gateway
/// \brief Compares the leadership state of this process with the leader entry last read from the
/// store, and applies for the leadership when there is no leader.
void check_leadership(gateway& self);

/// \ingroup gateway
/// \brief Gives up the leadership, if held, and removes the leader entry from the store.
void resign(gateway& self);

} // namespace gooseberrywood::gateway

#endif
