#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_RUNNING_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_RUNNING_HPP

#include "gateway/gateway.hpp"

#include <cstdint>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Whether this process is guaranteed to own a job, so that no other one writes its results.
[[nodiscard]] bool owns(gateway const& self, owned_job const& job, base::mono_time now);

/// \ingroup gateway
/// \brief Whether the listed results of a job are certain to include every result that a caller may
/// have been shown. If not, callers must be answered from the store.
[[nodiscard]] bool knows_stored_results(gateway const& self, owned_job const& job,
                                        base::mono_time now);

/// \ingroup gateway
/// \brief Records that the store holds no other results of a job than the listed ones.
void note_nothing_unlisted(owned_job& job);

/// \ingroup gateway
/// \brief Sets the times of a job from its route, if the route was not known before.
void update_times(gateway const& self, owned_job& job);

/// \ingroup gateway
/// \brief Entry in the store that makes this process the owner of a job.
struct owner_entry
{
    std::uint64_t revision = 0;
    /// Lease that the entry is bound to.
    std::uint64_t lease = 0;
};

/// \ingroup gateway
/// \brief Starts a newly submitted job whose owner entry this process has just written. Does
/// nothing if the entry has ended meanwhile with its lease.
void start_submitted_job(gateway& self, rollout::job_record const& record, rollout::batch_job spec,
                         owner_entry const& entry);

/// \ingroup gateway
/// \brief Loads a job that this process owns from the store and starts it. Does nothing while the
/// job is already being loaded.
void load_and_start_job(gateway& self, rollout::job_record const& record,
                        std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Loads and starts a job that another process has assigned to this one.
void start_assigned_job(gateway& self, rollout::job_record const& record,
                        std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Loads the stored results of a job that this process owns again, and resumes the job.
void reload_job(gateway& self, owned_job& job, std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Cancels the runs of a job and removes it from memory. Its entries in the store remain.
void stop_job(gateway& self, std::string const& id);

/// \ingroup gateway
/// \brief Stops a job that its caller has ended and marks its record as ended, so that an older
/// read of the store does not restart it.
void mark_job_ended(gateway& self, std::string const& id);

} // namespace gooseberrywood::gateway

#endif
