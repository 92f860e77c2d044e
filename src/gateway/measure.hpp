#ifndef GOOSEBERRYWOOD_GATEWAY_MEASURE_HPP
#define GOOSEBERRYWOOD_GATEWAY_MEASURE_HPP

#include "base/time.hpp"
#include "gateway/gateway.hpp"

#include <string>
#include <string_view>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Counts a finished plain request and records its duration.
/// \param route name of the route.
/// \param outcome one of a small fixed set, since it becomes a metric label.
void count_answer(gateway& self, std::string_view route, std::string_view outcome,
                  base::duration duration);

/// \ingroup gateway
/// \brief Counts an error answer that this process generated.
/// \param code name of the result code.
void count_error(gateway& self, std::string_view code);

/// \ingroup gateway
/// \brief Counts a finished try of a plain request at an upstream.
void count_try(gateway& self, std::string_view service, std::string_view outcome);

/// \ingroup gateway
/// \brief Counts a plain request that was refused before its dispatch deadline.
void count_early_refusal(gateway& self, std::string_view service);

/// \ingroup gateway
/// \brief Counts a further try of a plain request that was sent, deferred or denied.
void count_further_try(gateway& self, std::string_view service, std::string_view outcome);

/// \ingroup gateway
/// \brief Counts a try under which an upstream seems to have ended, or a request that was refused
/// because upstreams have ended under equal ones.
void count_crash_sighting(gateway& self, std::string_view outcome);

/// \ingroup gateway
/// \brief Counts a finished run of a sample.
void count_run(gateway& self, std::string_view event);

/// \ingroup gateway
/// \brief Counts a sample whose result is stored and records the time since its job was submitted.
/// \param done false when the sample was given up.
void count_sample(gateway& self, bool done, base::duration duration);

/// \ingroup gateway
/// \brief Counts an order to an upstream to load weights.
void count_order(gateway& self, std::string_view outcome);

/// \ingroup gateway
/// \brief Counts the gain or loss of a lease, the leadership or a job by this process.
void count_change(gateway& self, std::string_view change);

/// \ingroup gateway
/// \brief Wraps a store client so that its calls are counted by kind and outcome, and timed by
/// kind.
[[nodiscard]] store::client instrument_store(gateway& self, store::client const& inner);

/// \ingroup gateway
/// \brief Counts a list request to another gateway.
void count_list_request(gateway& self, std::string_view outcome);

/// \ingroup gateway
/// \brief Counts a request for a permit to send to a rate-limited upstream.
void count_permit_request(gateway& self, std::string_view outcome);

/// \ingroup gateway
/// \brief Updates the gauges and returns all metrics in the text exposition format.
[[nodiscard]] std::string exposition(gateway& self);

/// \ingroup gateway
/// \brief Counts a store call that was relayed through another gateway.
/// \param served whether the store served the call.
void count_relayed(gateway& self, bool served);

} // namespace gooseberrywood::gateway

#endif
