#ifndef GOOSEBERRYWOOD_GATEWAY_CALLERS_HPP
#define GOOSEBERRYWOOD_GATEWAY_CALLERS_HPP

#include "gateway/gateway.hpp"

#include <memory>
#include <optional>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Handles a request from a caller.
void handle_caller(gateway& self, std::shared_ptr<http::exchange> const& exchange);

/// \ingroup gateway
/// \brief Checks by its head whether a request with a long body is allowed, before the body is
/// held. \returns the answer if it is not.
[[nodiscard]] std::optional<http::rejection> check_claim(gateway& self, SoupServerMessage* message);

/// \ingroup gateway
/// \brief Answers all callers that still wait and refuses new requests from now on. For the end of
/// the time in which the process must stop.
void end_callers(gateway& self);

/// \ingroup gateway
/// \brief Cancels the requests whose callers have closed their connections.
void check_callers(gateway& self);

} // namespace gooseberrywood::gateway

#endif
