#ifndef GOOSEBERRYWOOD_GATEWAY_END_REQUEST_HPP
#define GOOSEBERRYWOOD_GATEWAY_END_REQUEST_HPP

#include "base/result_code.hpp"
#include "gateway/gateway.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Finds a request that is being routed.
/// \returns null when it has ended.
[[nodiscard]] routed_request* find_request(gateway& self, std::uint64_t number);

/// \ingroup gateway
/// \brief Ends a request and its running tries, and calls its `done` handler.
void finish(gateway& self, routed_request& request, routed_outcome outcome);

/// \ingroup gateway
/// \brief Ends a request that has no answer, as above.
void finish_without_answer(gateway& self, routed_request& request, outcome_kind kind,
                           base::result_code code, std::string message);

/// \ingroup gateway
/// \brief Ends a request that may have run: with the last answer that reports a server error, or
/// without a known outcome.
void finish_with_tries(gateway& self, routed_request& request);

/// \ingroup gateway
/// \brief Ends a request whose deadline is reached: as refused if it has not run, or else as above.
void end_at_deadline(gateway& self, routed_request& request);

} // namespace gooseberrywood::gateway

#endif
