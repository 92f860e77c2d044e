#ifndef GOOSEBERRYWOOD_GATEWAY_USAGE_REPORTS_HPP
#define GOOSEBERRYWOOD_GATEWAY_USAGE_REPORTS_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Leaves this process's counts of the windows that are over in the store.
void store_usage_counts(gateway& self);

/// \ingroup gateway
/// \brief Reports the next window that is due, as the leader.
void report_usage(gateway& self, duty::authority const& as);

} // namespace gooseberrywood::gateway

#endif
