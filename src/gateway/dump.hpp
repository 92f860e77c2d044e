#ifndef GOOSEBERRYWOOD_GATEWAY_DUMP_HPP
#define GOOSEBERRYWOOD_GATEWAY_DUMP_HPP

#include "gateway/gateway.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief State of the process for the admin port. Contains no API keys.
[[nodiscard]] nlohmann::ordered_json dump(gateway const& self);

} // namespace gooseberrywood::gateway

#endif
