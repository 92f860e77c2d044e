#ifndef GOOSEBERRYWOOD_GATEWAY_OWNED_JOB_HPP
#define GOOSEBERRYWOOD_GATEWAY_OWNED_JOB_HPP

#include "base/byte_budget.hpp"
#include "base/event_source.hpp"
#include "base/time.hpp"
#include "rollout/batch_job.hpp"
#include "rollout/job_record.hpp"
#include "rollout/sample_progress.hpp"
#include "rollout/sample_result.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief A batch job that this process runs.
struct owned_job
{
    rollout::job_record record;
    rollout::batch_job spec;
    /// Counts the memory of the job.
    std::shared_ptr<base::byte_share> memory;
    /// Progress of each sample, in the order of `spec.samples`.
    std::vector<rollout::sample_progress> samples;
    /// Index of a sample by its id.
    std::map<std::string, std::size_t> index_by_id;
    /// Upstream that last ran a sample of a group, and has therefore read the group's prompt.
    std::map<std::string, std::string> upstream_by_group;
    /// Revision of the owner entry that names this process; 0 while the ownership is uncertain.
    std::uint64_t owner_revision = 0;
    /// A claim of the job, or the reload after it, is in progress.
    bool claiming = false;

    /// Stored results in list order. Only these are visible to callers.
    std::vector<rollout::sample_result> listed;
    /// Results that are not yet part of a write to the store.
    std::vector<rollout::sample_result> finished;
    /// Results of the write in progress. A retry sends the same results until the outcome is known,
    /// so that an earlier attempt that takes effect late has no further effect.
    std::vector<rollout::sample_result> writing;
    /// Until this time, `listed` certainly holds every result that a caller may have been shown.
    /// Later, the store may have the results of `writing`, whose outcome is not known.
    base::mono_time listed_complete_until = base::mono_time::max();
    /// An attempt to store `writing` had no known outcome, so that the results may be stored.
    bool may_be_stored = false;
    /// A write of results or progress is in progress.
    bool write_running = false;
    /// Fires when the next write starts.
    base::event_source write_timer;

    /// Earliest time of the next save of long samples' progress, which limits the work that is lost
    /// when this process fails.
    base::mono_time next_save_at{};

    /// The times below come from the job's route, which this process may read later than the job.
    bool has_route_times = false;
    /// Time by which the job should be complete, from the route's run target.
    base::mono_time due{};
    /// Time at which samples without a result are given up.
    base::mono_time give_up_at{};
};

} // namespace gooseberrywood::gateway

#endif
