#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_OWNERSHIP_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_OWNERSHIP_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Reconciles the jobs of this process with the shared entries: assigns jobs that have no
/// owner, starts jobs that this process owns, and stops jobs that were ended or have another owner.
void reconcile_jobs(gateway& self);

/// \ingroup gateway
/// \brief Claims the jobs again that this process owned under a lease that was lost.
void reclaim_jobs(gateway& self);

} // namespace gooseberrywood::gateway

#endif
