#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_OWNERSHIP_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_OWNERSHIP_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Looks at the shared entries: gives jobs without an owner one, stops those that were ended
/// or that another process owns.
void review_jobs(gateway& self);

/// \ingroup gateway
/// \brief Claims again what this process owned under a lease that was lost.
void reclaim_jobs(gateway& self);

} // namespace gooseberrywood::gateway

#endif
