#ifndef GOOSEBERRYWOOD_GATEWAY_CALLERS_HPP
#define GOOSEBERRYWOOD_GATEWAY_CALLERS_HPP

#include "gateway/gateway.hpp"

#include <memory>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Takes a request of a caller.
void handle_caller(gateway& self, std::shared_ptr<http::exchange> const& from);

/// \ingroup gateway
/// \brief Ends the requests whose callers have closed their connections.
void check_callers(gateway& self);

} // namespace gooseberrywood::gateway

#endif
