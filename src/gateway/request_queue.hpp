#ifndef GOOSEBERRYWOOD_GATEWAY_REQUEST_QUEUE_HPP
#define GOOSEBERRYWOOD_GATEWAY_REQUEST_QUEUE_HPP

#include "base/event_source.hpp"
#include "fleet/reward_share.hpp"
#include "fleet/service_queue.hpp"
#include "fleet/try_budget.hpp"
#include "fleet/try_outcome.hpp"
#include "gateway/routed_request.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief Plain requests of one service that wait for an upstream in this process.
struct request_queue
{
    fleet::service_queue waiting;
    fleet::reward_share rewards;
    fleet::try_budget budget;
    /// One timer for the queue; it fires when the next decision is due.
    base::event_source timer;
    base::mono_time timer_due = base::mono_time::max();
};

/// \ingroup gateway
/// \brief Queues by the name of the service.
using request_queues = std::map<std::string, request_queue, std::less<>>;

/// \ingroup gateway
/// \brief Finds or creates the queue of a service.
request_queue& queue_of(gateway& self, std::string const& service);

/// \ingroup gateway
/// \brief Records a new request, for the budget of further tries and the share of reward calls.
void note_request_arrived(gateway& self, routed_spec const& spec);

/// \ingroup gateway
/// \brief Adds a request without running tries to the queue of its service and serves the queue, so
/// that the request is sent at once if an upstream is free for it.
void wait_for_upstream(gateway& self, routed_request& request);

/// \ingroup gateway
/// \brief Removes a request that has ended from its queue.
void stop_waiting(gateway& self, routed_request const& request);

/// \ingroup gateway
/// \brief Serves the queue of a service soon, if requests wait in it: a slot may have become free.
void wake_queue(gateway& self, std::string_view service);

/// \ingroup gateway
/// \brief Serves all queues soon: the list of upstreams or the permits to send have changed.
void wake_queues(gateway& self);

/// \ingroup gateway
/// \brief Counts a try that was sent.
void note_try_sent(gateway& self, routed_spec const& spec);

/// \ingroup gateway
/// \brief Counts down the running requests of a try that has ended or was abandoned, and wakes the
/// queue of its service.
void release_try(gateway& self, routed_spec const& spec, routed_try const& ended);

/// \ingroup gateway
/// \brief Adds the outcome of a try to the measurements from which waits are predicted.
/// \param is_full_answer whether the upstream refused the request because it is full.
void measure_try(gateway& self, routed_spec const& spec, routed_try const& ended,
                 fleet::try_outcome outcome, bool is_full_answer);

/// \ingroup gateway
/// \brief Whether a second try of a request may be sent while the first one runs. Counts the denied
/// ones.
[[nodiscard]] bool may_hedge_now(gateway& self, routed_spec const& spec);

/// \ingroup gateway
/// \brief Charges a second try to the budget of its service.
void charge_hedge(gateway& self, routed_spec const& spec);

/// \ingroup gateway
/// \brief Latest time at which a new request of a caller is dispatched; see
/// `fleet::caller_dispatch_deadline`.
[[nodiscard]] base::mono_time caller_dispatch_deadline(gateway& self, std::string const& service,
                                                       base::mono_time due, base::mono_time now);

/// \ingroup gateway
/// \brief Latest time at which a new reward call is dispatched: it is still usually answered before
/// its deadline.
[[nodiscard]] base::mono_time reward_dispatch_deadline(gateway& self, std::string const& service,
                                                       base::mono_time deadline,
                                                       base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
