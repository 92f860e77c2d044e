#ifndef GOOSEBERRYWOOD_GATEWAY_CONTROL_CALL_HPP
#define GOOSEBERRYWOOD_GATEWAY_CONTROL_CALL_HPP

#include "gateway/gateway.hpp"
#include "http/fetch.hpp"

#include <functional>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts a control call: an order to an upstream, or a call to the platform's duties
/// interface.
/// \param done called once with the outcome.
void start_control_call(gateway& self, http::call_request const& request, base::mono_time deadline,
                        std::function<void(http::fetch_outcome)> done);

} // namespace gooseberrywood::gateway

#endif
