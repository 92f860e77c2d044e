#ifndef GOOSEBERRYWOOD_GATEWAY_LEADERSHIP_HPP
#define GOOSEBERRYWOOD_GATEWAY_LEADERSHIP_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts to take part in the leadership and to carry out its duties while it is held.
void start_leadership(gateway& self);

/// \ingroup gateway
/// \brief Compares the leadership with what the store shows, and applies for it when nobody leads.
void check_leadership(gateway& self);

/// \ingroup gateway
/// \brief Gives the leadership up.
void resign(gateway& self);

} // namespace gooseberrywood::gateway

#endif
