#ifndef GOOSEBERRYWOOD_GATEWAY_REQUEST_COSTS_HPP
#define GOOSEBERRYWOOD_GATEWAY_REQUEST_COSTS_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Expected cost of a plain request, as a multiple of the mean response time of its service.
[[nodiscard]] double expected_cost(gateway const& self, routed_spec const& spec);

/// \ingroup gateway
/// \brief Records the response time of an answered request as the cost of its route and size.
void note_answered_cost(gateway& self, routed_spec const& spec, base::duration response_time);

/// \ingroup gateway
/// \brief Records for its upstream that a try was abandoned before it was answered.
void note_abandoned_cost(gateway& self, routed_try const& abandoned, base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
