#ifndef GOOSEBERRYWOOD_PROVIDER_ORDERS_HPP
#define GOOSEBERRYWOOD_PROVIDER_ORDERS_HPP

#include "base/time.hpp"
#include "provider/done.hpp"
#include "provider/upstream_order.hpp"

#include <functional>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief The platform's interface for ordering upstreams by failure domain.
struct orders
{
    /// Sends an order on a connection that is aborted at the deadline. Errors: `fenced` (the
    /// platform has seen a higher fencing number), `outcome_unknown` (the order may have taken
    /// effect), `platform_refused` (the order has not taken effect).
    std::function<void(upstream_order const& order, base::mono_time deadline, done<void>)> send;
};

} // namespace gooseberrywood::provider

#endif
