#ifndef GOOSEBERRYWOOD_GATEWAY_OWNED_JOB_HPP
#define GOOSEBERRYWOOD_GATEWAY_OWNED_JOB_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"
#include "rollout/batch_job.hpp"
#include "rollout/job_record.hpp"
#include "rollout/sample_progress.hpp"
#include "rollout/sample_result.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
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
    /// One for each sample of the job, in its order.
    std::vector<rollout::sample_progress> samples;
    std::map<std::string, std::size_t> index_by_id;
    /// The upstream that read a group's prompt.
    std::map<std::string, std::string> upstream_by_group;
    /// Revision of this process's entry as the owner; 0 while the ownership is not certain.
    std::uint64_t owner_revision = 0;
    /// A transaction on the ownership is running.
    bool claiming = false;

    /// Stored results by position; callers see these.
    std::vector<rollout::sample_result> listed;
    /// Results that wait to be stored.
    std::vector<rollout::sample_result> finished;
    /// Results that are being stored. The same ones are sent until the outcome is known, so that a
    /// write that takes effect late changes nothing.
    std::vector<rollout::sample_result> writing;
    bool write_running = false;
    base::event_source write_timer;

    /// The text of long samples is saved from then on, for the case that this process is lost.
    base::mono_time save_at{};

    base::mono_time due{};
    /// Samples without a result are given up then.
    base::mono_time give_up_at{};
};

} // namespace gooseberrywood::gateway

#endif
