#include "gateway/request_queue.hpp"

#include "admission/latest_dispatch.hpp"
#include "base/log.hpp"
#include "gateway/end_request.hpp"
#include "gateway/gateway.hpp"
#include "gateway/measure.hpp"
#include "gateway/route_request.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

// Longest time without a look at the waiting requests. All changes that matter wake the queue; this
// bounds the effect of one that does not, such as knowledge that becomes recent enough again.
constexpr base::duration max_sleep = std::chrono::milliseconds(250);

void serve_queue(gateway& self, std::string const& service);

void set_timer(gateway& self, std::string const& service, request_queue& queue, base::mono_time due)
{
    queue.timer_due = due;
    queue.timer = base::at(due, [&self, service] { serve_queue(self, service); });
}

fleet::service_load load_of(gateway const& self, std::string_view service, base::mono_time now)
{
    auto const* const configured =
        self.configuration ? fleet::find_service(*self.configuration, service) : nullptr;
    return fleet::load_of(self.pool, configured, service, now);
}

/// Team whose turn a request uses up: that of the caller, or of the job.
std::string team_of(gateway const& self, routed_spec const& spec)
{
    if (!spec.sample)
    {
        return spec.team;
    }
    auto const job = self.jobs.find(spec.sample->job_id);
    return job != self.jobs.end() ? job->second.record.team : std::string();
}

/// Takes the budget for another try of a request that may have run.
/// \returns whether the request must wait until nothing else does, since the budget is used up.
bool is_deferred(gateway& self, request_queue& queue, routed_request const& request)
{
    if (request.runs == 0)
    {
        return false;
    }
    bool const allowed = fleet::may_try_again(queue.budget, request.spec.sample.has_value());
    if (allowed)
    {
        fleet::use_try(queue.budget);
    }
    count_further_try(self, request.spec.service, allowed ? "repeated" : "deferred");
    return !allowed;
}

/// Sends waiting requests in their order, as far as upstreams are free.
void dispatch_waiting(gateway& self, request_queue& queue, std::uint32_t slots, base::mono_time now)
{
    // Requests that any upstream may serve all find one or none.
    bool none_is_free = false;
    for (auto const number : fleet::dispatch_order(queue.waiting, now))
    {
        auto const found = queue.waiting.waiting.find(number);
        if (found == queue.waiting.waiting.end() ||
            (found->second.is_reward && !fleet::may_send_reward(queue.rewards, slots, now)) ||
            (none_is_free && may_use_any_upstream(self, number)))
        {
            continue;
        }
        if (send_request(self, number) == send_result::no_upstream)
        {
            none_is_free = none_is_free || may_use_any_upstream(self, number);
        }
        else
        {
            fleet::note_dispatched(queue.waiting, number);
        }
    }
}

void refuse_early(gateway& self, std::string const& service, request_queue& queue,
                  fleet::service_load const& load, base::mono_time now)
{
    for (auto const& refusal : fleet::refuse_unreachable(queue.waiting, load, now))
    {
        count_early_refusal(self, service);
        auto const* const request = find_request(self, refusal.number);
        base::log_line(base::log_level::info, "request_refused_early",
                       {{"request", request != nullptr ? request->spec.request_id : ""},
                        {"service", service},
                        {"wait_us", (refusal.retry_at - now).count()},
                        {"waiting", static_cast<std::int64_t>(queue.waiting.waiting.size())}});
        end_waiting(self, refusal.number, refusal.retry_at);
    }
}

/// Ends the requests whose dispatch deadline has passed.
void end_expired(gateway& self, request_queue& queue, fleet::service_load const& load,
                 base::mono_time now)
{
    for (auto const number : fleet::expire(queue.waiting, now))
    {
        auto const wait =
            fleet::expected_wait(queue.waiting, load, queue.waiting.waiting.size() + 1, now);
        end_waiting(self, number,
                    wait > base::duration::zero() ? std::optional(now + wait) : std::nullopt);
    }
}

base::mono_time next_look(request_queue const& queue, fleet::service_load const& load,
                          base::mono_time now)
{
    auto next = std::min(now + max_sleep, load.wake_at);
    if (auto const expiry = fleet::next_expiry(queue.waiting))
    {
        next = std::min(next, *expiry);
    }
    if (auto const unlimited = fleet::unlimited_at(queue.rewards, now))
    {
        next = std::min(next, *unlimited);
    }
    return next;
}

void serve_queue(gateway& self, std::string const& service)
{
    auto& queue = queue_of(self, service);
    queue.timer.reset();
    queue.timer_due = base::mono_time::max();
    auto const now = base::mono_now();
    dispatch_waiting(self, queue, load_of(self, service, now).slots, now);
    if (queue.waiting.waiting.empty())
    {
        return;
    }
    auto const load = load_of(self, service, now);
    end_expired(self, queue, load, now);
    refuse_early(self, service, queue, load, now);
    // A request that has ended may have set the timer.
    auto const next = std::min(next_look(queue, load, now), queue.timer_due);
    if (!queue.waiting.waiting.empty() && next < queue.timer_due)
    {
        set_timer(self, service, queue, next);
    }
}

void log_share(std::string const& service, fleet::reward_share const& rewards,
               std::string_view reason)
{
    constexpr double percent = 100;
    base::log_line(base::log_level::info, "reward_share_reduced",
                   {{"service", service},
                    {"reason", reason},
                    {"percent", static_cast<std::int64_t>(rewards.share * percent)},
                    {"running", std::int64_t{rewards.running}}});
}

} // namespace

request_queue& queue_of(gateway& self, std::string const& service)
{
    return self.queues[service];
}

void note_request_arrived(gateway& self, routed_spec const& spec)
{
    auto const now = base::mono_now();
    auto& queue = queue_of(self, spec.service);
    fleet::note_request(queue.budget, now);
    if (!spec.sample)
    {
        queue.rewards.caller_seen_at = now;
    }
}

void wait_for_upstream(gateway& self, routed_request& request)
{
    // The request may end while the queue is served.
    auto const service = request.spec.service;
    auto& queue = queue_of(self, service);
    fleet::waiting_request waiting;
    waiting.number = request.number;
    waiting.is_reward = request.spec.sample.has_value();
    waiting.is_deferred = is_deferred(self, queue, request);
    waiting.may_be_refused = request.runs == 0;
    waiting.priority = request.spec.priority;
    waiting.team = team_of(self, request.spec);
    waiting.entered_at = base::mono_now();
    waiting.dispatch_deadline =
        request.runs == 0 ? request.spec.dispatch_deadline
                          : std::min(request.spec.dispatch_deadline, request.spec.repeat_deadline);
    bool const others_wait = !queue.waiting.waiting.empty();
    fleet::enter(queue.waiting, std::move(waiting));
    if (others_wait)
    {
        // The requests of a burst are served together, not the whole queue for each of them.
        wake_queue(self, service);
        return;
    }
    serve_queue(self, service);
}

void stop_waiting(gateway& self, routed_request const& request)
{
    fleet::leave(queue_of(self, request.spec.service).waiting, request.number);
}

void wake_queue(gateway& self, std::string_view service)
{
    auto const found = self.queues.find(service);
    if (found == self.queues.end() || found->second.waiting.waiting.empty())
    {
        return;
    }
    auto const now = base::mono_now();
    if (now < found->second.timer_due)
    {
        set_timer(self, found->first, found->second, now);
    }
}

void wake_queues(gateway& self)
{
    for (auto const& [service, queue] : self.queues)
    {
        wake_queue(self, service);
    }
}

void note_try_sent(gateway& self, routed_spec const& spec)
{
    if (spec.sample)
    {
        ++queue_of(self, spec.service).rewards.running;
    }
}

void release_try(gateway& self, routed_spec const& spec, routed_try const& ended)
{
    fleet::note_request_ended(self.pool, ended.upstream, ended.work);
    auto& rewards = queue_of(self, spec.service).rewards;
    if (spec.sample && rewards.running > 0)
    {
        --rewards.running;
    }
    wake_queue(self, spec.service);
}

void measure_try(gateway& self, routed_spec const& spec, routed_try const& ended,
                 fleet::try_outcome outcome, bool is_full_answer)
{
    auto const now = base::mono_now();
    auto& queue = queue_of(self, spec.service);
    auto const slots = load_of(self, spec.service, now).slots;
    if (outcome == fleet::try_outcome::answered || outcome == fleet::try_outcome::failed)
    {
        auto const answer_time = now - ended.sent_at;
        fleet::note_slot_freed(queue.waiting, answer_time, now);
        if (spec.sample && fleet::note_reward_answered(queue.rewards, answer_time, slots, now))
        {
            log_share(spec.service, queue.rewards, "slow");
        }
    }
    else if (is_full_answer && fleet::note_plain_refused(queue.rewards, ended.sent_at, slots, now))
    {
        log_share(spec.service, queue.rewards, "refused");
    }
}

bool may_hedge_now(gateway& self, routed_spec const& spec)
{
    auto const now = base::mono_now();
    auto const& queue = queue_of(self, spec.service);
    bool const is_reward = spec.sample.has_value();
    bool const has_share =
        !is_reward ||
        fleet::may_send_reward(queue.rewards, load_of(self, spec.service, now).slots, now);
    bool const allowed =
        queue.waiting.waiting.empty() && has_share && fleet::may_try_again(queue.budget, is_reward);
    if (!allowed)
    {
        count_further_try(self, spec.service, "hedge_denied");
    }
    return allowed;
}

void charge_hedge(gateway& self, routed_spec const& spec)
{
    fleet::use_try(queue_of(self, spec.service).budget);
    count_further_try(self, spec.service, "hedged");
}

base::mono_time caller_dispatch_deadline(gateway& self, std::string const& service,
                                         base::mono_time due, base::mono_time now)
{
    return fleet::caller_dispatch_deadline(queue_of(self, service).waiting,
                                           load_of(self, service, now), due, now);
}

base::mono_time reward_dispatch_deadline(gateway& self, std::string const& service,
                                         base::mono_time deadline, base::mono_time now)
{
    auto const& measured = queue_of(self, service).waiting.service_time;
    return admission::latest_dispatch(deadline, now, admission::expected_service(measured, 1));
}

} // namespace gooseberrywood::gateway
