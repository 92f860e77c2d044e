#ifndef GOOSEBERRYWOOD_GATEWAY_ROUTE_REQUEST_HPP
#define GOOSEBERRYWOOD_GATEWAY_ROUTE_REQUEST_HPP

#include "gateway/gateway.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Sends a request to an upstream of its service. Retries and hedges it on further upstreams
/// up to `routed_spec::max_runs`.
/// \param done called once, from the loop.
/// \returns a number for `cancel_request`.
std::uint64_t start_request(gateway& self, routed_spec spec,
                            std::function<void(routed_outcome)> done);

/// \ingroup gateway
/// \brief Ends all requests as their deadlines would: those that may have run without a known
/// outcome, the others as refused. For the end of the time in which the process must stop.
void end_requests(gateway& self);

/// \ingroup gateway
/// \brief Cancels a request and its running tries; its `done` handler is not called.
/// \returns when the request started to run, if it may have run.
std::optional<base::wall_time> cancel_request(gateway& self, std::uint64_t number);

/// \ingroup gateway
/// \brief Cancels the requests whose specification satisfies a condition, as above.
void cancel_requests_if(gateway& self, std::function<bool(routed_spec const&)> const& condition);

/// \ingroup gateway
/// \brief Withdraws the tries of which no byte was sent and whose upstream no longer serves. Their
/// requests go to other upstreams.
void withdraw_unsent_tries(gateway& self);

} // namespace gooseberrywood::gateway

#endif
