#ifndef GOOSEBERRYWOOD_GATEWAY_CONTROL_CALL_HPP
#define GOOSEBERRYWOOD_GATEWAY_CONTROL_CALL_HPP

#include "gateway/gateway.hpp"
#include "http/fetch.hpp"

#include <functional>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts a call to an upstream or to the platform's interface for duties.
void start_control_call(gateway& self, http::call_request const& what, base::mono_time deadline,
                        std::function<void(http::fetch_outcome)> then);

} // namespace gooseberrywood::gateway

#endif
