#ifndef GOOSEBERRYWOOD_GATEWAY_DEPARTURES_HPP
#define GOOSEBERRYWOOD_GATEWAY_DEPARTURES_HPP

#include "fleet/departures.hpp"
#include "platform/upstream_calls.hpp"

#include <string_view>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief Marks the upstream that answered as leaving if the head of its answer states so. An
/// answer that names another request is ignored.
/// \param answered_by incarnation that the request was sent to.
/// \param request_id id of the answered request.
void record_departure(gateway& self, fleet::incarnation const& answered_by,
                      platform::response_head const& head, std::string_view request_id);

} // namespace gooseberrywood::gateway

#endif
