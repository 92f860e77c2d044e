#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_ORDERS_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_ORDERS_HPP

#include "process/support/deployment.hpp"

#include <cstddef>
#include <string>

namespace gooseberrywood::test
{

/// A non-idempotent request to the route `stock` with the key of team zlatar.
[[nodiscard]] http_request post_order(entry_host const& at, std::string const& body);

/// How often an order with this body was executed. The service is the second upstream of each host.
[[nodiscard]] std::size_t order_executions(deployment const& in, std::string const& body);

/// The error object of an answer.
[[nodiscard]] nlohmann::json error_of(http_response const& answer);

} // namespace gooseberrywood::test

#endif
