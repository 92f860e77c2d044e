#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_OWNERSHIP_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_OWNERSHIP_HPP

#include "gateway/gateway.hpp"

#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Whether this process certainly owns a job: no other one writes its results.
[[nodiscard]] bool owns(gateway const& self, owned_job const& job, base::mono_time now);

/// \ingroup gateway
/// \brief Starts to run a job whose owner's entry this process has just written.
void adopt_job(gateway& self, rollout::job_record const& record, rollout::batch_job spec,
               std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Loads and starts a job for whose owner another process has written this one.
void take_assigned_job(gateway& self, rollout::job_record const& record,
                       std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Ends the runs of a job and forgets it. What is stored of it stays.
void stop_job(gateway& self, std::string const& id);

/// \ingroup gateway
/// \brief Looks at the shared entries: takes over jobs without an owner, stops those that were
/// ended or that another process owns.
void review_jobs(gateway& self);

/// \ingroup gateway
/// \brief Claims again what this process owned under a lease that was lost.
void reclaim_jobs(gateway& self);

} // namespace gooseberrywood::gateway

#endif
