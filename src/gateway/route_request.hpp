#ifndef GOOSEBERRYWOOD_GATEWAY_ROUTE_REQUEST_HPP
#define GOOSEBERRYWOOD_GATEWAY_ROUTE_REQUEST_HPP

#include "gateway/gateway.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Sends a request to an upstream of its service, and to further ones as its kind allows.
/// \param done called once, from the loop.
/// \returns a number for `cancel_request`.
std::uint64_t start_request(gateway& self, routed_spec spec,
                            std::function<void(routed_outcome)> done);

/// \ingroup gateway
/// \brief Ends a request without an outcome, and the work of its upstreams with it.
/// \returns when it began to run, if it may have.
std::optional<base::wall_time> cancel_request(gateway& self, std::uint64_t number);

} // namespace gooseberrywood::gateway

#endif
