#include "gateway/unsent_requests.hpp"

#include "fleet/choose_upstream.hpp"
#include "gateway/gateway.hpp"
#include "gateway/route_request.hpp"
#include "gateway/sample_runs.hpp"

namespace gooseberrywood::gateway
{

bool may_still_send(gateway const& self, fleet::incarnation const& chosen, std::string_view service)
{
    return fleet::is_serving(self.pool, chosen, service);
}

void withdraw_unsent(gateway& self)
{
    withdraw_unsent_tries(self);
    withdraw_unsent_runs(self);
}

} // namespace gooseberrywood::gateway
