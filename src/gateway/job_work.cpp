#include "gateway/job_work.hpp"

#include "gateway/refresh.hpp"
#include "gateway/route_request.hpp"
#include "gateway/sample_runs.hpp"

namespace gooseberrywood::gateway
{

void withdraw_job_work(gateway& self, std::string const& job_id)
{
    cancel_runs(self, job_id);
    cancel_requests_if(self, [&](routed_spec const& spec)
                       { return spec.sample && spec.sample->job_id == job_id; });
}

void withdraw_sample_work(gateway& self, std::string const& job_id, std::size_t index)
{
    cancel_run(self, job_id, index);
    sample_ref const sample{job_id, index};
    cancel_requests_if(self, [&](routed_spec const& spec) { return spec.sample == sample; });
}

bool may_send_job_work(gateway const& self, base::mono_time now)
{
    return !self.stopping && has_current_job_ends(self, now);
}

} // namespace gooseberrywood::gateway
