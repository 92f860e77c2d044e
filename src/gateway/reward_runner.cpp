#include "gateway/reward_runner.hpp"

#include "base/log.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/route_request.hpp"
#include "http/status.hpp"
#include "platform/upstream_calls.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using rollout::sample_phase;

constexpr base::duration retry_delay = std::chrono::milliseconds(100);

void send_reward(gateway& self, owned_job& job, std::size_t index);

void schedule_reward(gateway& self, std::string const& job_id, std::size_t index)
{
    // The callback holds the timer, so that the timer lives until it fires.
    auto const timer = std::make_shared<base::event_source>();
    *timer = base::at(base::mono_now() + retry_delay,
                      [&self, job_id, index, timer]
                      {
                          auto const keep = std::move(*timer);
                          auto const it = self.jobs.find(job_id);
                          if (it != self.jobs.end() &&
                              it->second.samples[index].phase == sample_phase::scoring)
                          {
                              send_reward(self, it->second, index);
                          }
                      });
}

/// \returns null when the configuration has no such route.
fleet::route const* reward_route_of(gateway const& self, rollout::reward_call const& call)
{
    return self.configuration ? fleet::find_route(*self.configuration, call.host, call.path)
                              : nullptr;
}

std::uint32_t max_failures(gateway const& self, owned_job const& job,
                           rollout::reward_call const& call)
{
    auto const* const job_route = route_of(self, job.record);
    auto const* const reward_route = reward_route_of(self, call);
    return std::max(job_route != nullptr ? job_route->attempts : 1,
                    reward_route != nullptr ? reward_route->attempts : 1);
}

void on_reward(gateway& self, std::string const& job_id, std::size_t index,
               routed_outcome const& outcome)
{
    auto const it = self.jobs.find(job_id);
    if (it == self.jobs.end() || it->second.samples[index].phase != sample_phase::scoring)
    {
        return;
    }
    auto& job = it->second;
    auto& progress = job.samples[index];
    auto const& spec = job.spec.samples[index];
    bool const answered = outcome.kind == outcome_kind::answered;
    if (answered && http::status::is_success(outcome.answer.status))
    {
        auto const head =
            platform::decode_response_head(outcome.answer.status, outcome.answer.headers);
        progress.score = head.server_stamp.value_or("");
        finish_sample(self, job, index, true);
        return;
    }
    if (answered && outcome.answer.status == http::status::internal_error)
    {
        ++progress.failed_rewards;
    }
    base::log_line(base::log_level::info, "reward_failed",
                   {{"sample", spec.id},
                    {"job", job_id},
                    {"status", answered ? std::int64_t{outcome.answer.status} : 0},
                    {"reason", outcome.error.message},
                    {"failures", std::int64_t{progress.failed_rewards}}});
    if (progress.failed_rewards >= max_failures(self, job, *spec.reward))
    {
        finish_sample(self, job, index, false);
        return;
    }
    schedule_reward(self, job_id, index);
}

void send_reward(gateway& self, owned_job& job, std::size_t index)
{
    auto const& call = *job.spec.samples[index].reward;
    auto const* const route = reward_route_of(self, call);
    if (route == nullptr)
    {
        schedule_reward(self, job.record.id, index);
        return;
    }
    auto const now = base::mono_now();
    routed_spec spec;
    spec.service = fleet::service_for_request(*route, call.id);
    spec.host = call.host;
    spec.request_id = call.id;
    spec.sample = sample_ref{job.record.id, index};
    spec.idempotent = true;
    spec.max_runs = 2;
    spec.deadline = now + route->timeout;
    // A later call may use the upstreams again on which this one broke off.
    spec.dispatch_deadline = std::min(spec.deadline, now + route->target_latency);
    spec.hedge_delay = route->target_latency;
    spec.call = {"POST", call.path, "application/octet-stream", http::copy_bytes(call.body),
                 {},     true};
    start_request(self, std::move(spec),
                  [&self, id = job.record.id, index](routed_outcome const& outcome)
                  { on_reward(self, id, index, outcome); });
}

} // namespace

void score_sample(gateway& self, owned_job& job, std::size_t index)
{
    job.samples[index].phase = sample_phase::scoring;
    if (!job.spec.samples[index].reward)
    {
        finish_sample(self, job, index, true);
        return;
    }
    send_reward(self, job, index);
}

} // namespace gooseberrywood::gateway
