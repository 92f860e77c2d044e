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
/// \brief Result of `send_request`.
enum class send_result : std::uint8_t
{
    sent,
    /// No upstream is free for the request, or it must not be sent now.
    no_upstream,
    /// The request has ended without being sent.
    ended,
};

/// \ingroup gateway
/// \brief Whether any upstream of its service may serve a waiting request, so that it finds a free
/// one exactly if others like it do.
[[nodiscard]] bool may_use_any_upstream(gateway& self, std::uint64_t number);

/// \ingroup gateway
/// \brief Sends a waiting request, if an upstream is free for it.
send_result send_request(gateway& self, std::uint64_t number);

/// \ingroup gateway
/// \brief Ends a waiting request that was not dispatched in time: as refused, or with the outcome
/// of its tries if it may have run.
/// \param retry_at when an upstream is expected to be free, if that is known.
void end_waiting(gateway& self, std::uint64_t number, std::optional<base::mono_time> retry_at);

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
