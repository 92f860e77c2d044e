#ifndef GOOSEBERRYWOOD_GATEWAY_DUMP_HPP
#define GOOSEBERRYWOOD_GATEWAY_DUMP_HPP

#include "gateway/gateway.hpp"

#include <nlohmann/json.hpp>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief The state of the process; it contains no key.
[[nodiscard]] nlohmann::ordered_json dump(gateway const& self);

} // namespace gooseberrywood::gateway

#endif
