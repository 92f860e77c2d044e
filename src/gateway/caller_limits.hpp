#ifndef GOOSEBERRYWOOD_GATEWAY_CALLER_LIMITS_HPP
#define GOOSEBERRYWOOD_GATEWAY_CALLER_LIMITS_HPP

#include "fleet/client_limits.hpp"
#include "http/server_limits.hpp"
#include "settings/gateway_settings.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Limits of the server for callers: what the configuration allows, within the memory and
/// the descriptors of the host.
[[nodiscard]] http::server_limits caller_limits(settings::gateway_settings const& settings,
                                                fleet::client_limits const& allowed);

} // namespace gooseberrywood::gateway

#endif
