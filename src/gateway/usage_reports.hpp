#ifndef GOOSEBERRYWOOD_GATEWAY_USAGE_REPORTS_HPP
#define GOOSEBERRYWOOD_GATEWAY_USAGE_REPORTS_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Stores this process's usage counts of windows that have ended.
void store_usage_counts(gateway& self);

/// \ingroup gateway
/// \brief Reports the usage of the next window that is due. Called on the leader only.
/// \param authority fencing token under which the report is sent.
void report_usage(gateway& self, duty::authority const& authority);

} // namespace gooseberrywood::gateway

#endif
