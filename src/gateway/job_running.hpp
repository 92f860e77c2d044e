#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_RUNNING_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_RUNNING_HPP

#include "gateway/gateway.hpp"

#include <cstdint>
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
/// \brief Reads a job whose owner's entry is this process's, and starts it. Nothing happens while
/// it is being read already.
void load_and_start(gateway& self, rollout::job_record const& record, std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Loads and starts a job for whose owner another process has written this one.
void take_assigned_job(gateway& self, rollout::job_record const& record,
                       std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Reads what is stored of a job whose owner's entry is this process's again, and goes on.
void reload_job(gateway& self, owned_job& claimed, std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Ends the runs of a job and forgets it. What is stored of it stays.
void stop_job(gateway& self, std::string const& id);

/// \ingroup gateway
/// \brief Stops a job that its caller has ended, and lets no older read bring it back.
void note_ended(gateway& self, std::string const& id);

} // namespace gooseberrywood::gateway

#endif
