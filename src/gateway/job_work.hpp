#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_WORK_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_WORK_HPP

#include "gateway/gateway.hpp"

#include <cstddef>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Withdraws all that is under way at upstreams for a job, or waits to be sent there: runs
/// of its samples and their reward calls. To be used wherever this process ends to run the job.
void withdraw_job_work(gateway& self, std::string const& job_id);

/// \ingroup gateway
/// \brief As above, for one sample of the job.
void withdraw_sample_work(gateway& self, std::string const& job_id, std::size_t index);

/// \ingroup gateway
/// \brief Whether work of jobs may be sent to upstreams. Without a list of the jobs that is recent
/// enough, they may have ended.
[[nodiscard]] bool may_send_job_work(gateway const& self, base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
