#ifndef GOOSEBERRYWOOD_GATEWAY_CALLER_LIMITS_HPP
#define GOOSEBERRYWOOD_GATEWAY_CALLER_LIMITS_HPP

#include "fleet/client_limits.hpp"
#include "gateway/gateway.hpp"
#include "http/server.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Options of the server of callers.
[[nodiscard]] http::server_options caller_options(gateway& self);

/// \ingroup gateway
/// \brief Options of the servers that only the platform and operators call.
[[nodiscard]] http::server_options service_options(gateway const& self);

/// \ingroup gateway
/// \brief Enforces the limits of a configuration from now on, also on open connections.
void apply_client_limits(gateway& self, fleet::client_limits const& limits);

} // namespace gooseberrywood::gateway

#endif
