#ifndef GOOSEBERRYWOOD_GATEWAY_UNSENT_REQUESTS_HPP
#define GOOSEBERRYWOOD_GATEWAY_UNSENT_REQUESTS_HPP

#include "fleet/departures.hpp"

#include <string_view>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief Whether a request that was chosen earlier may be sent now.
/// \param chosen incarnation that it was chosen for.
/// \param service service that it was chosen for.
[[nodiscard]] bool may_still_send(gateway const& self, fleet::incarnation const& chosen,
                                  std::string_view service);

/// \ingroup gateway
/// \brief Withdraws all requests and samples of which no byte was sent and whose upstream no longer
/// serves. They have not run and go to other upstreams.
void withdraw_unsent(gateway& self);

} // namespace gooseberrywood::gateway

#endif
