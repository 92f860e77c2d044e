#ifndef GOOSEBERRYWOOD_GATEWAY_TRY_RECORD_HPP
#define GOOSEBERRYWOOD_GATEWAY_TRY_RECORD_HPP

#include "fleet/try_outcome.hpp"
#include "gateway/gateway.hpp"
#include "http/fetch.hpp"
#include "platform/upstream_calls.hpp"

#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Classifies how a try of a plain request ended.
/// \param head head of the answer; ignored when there is no answer.
[[nodiscard]] fleet::try_outcome outcome_of(http::fetch_outcome const& answer,
                                            platform::response_head const& head,
                                            std::string const& request_id);

/// \ingroup gateway
/// \brief Counts a try that has ended, logs it unless it was answered, and tells the crash watch.
void record_try(gateway& self, routed_request& request, routed_try const& ended,
                fleet::try_outcome outcome, http::fetch_outcome const& answer);

} // namespace gooseberrywood::gateway

#endif
