#include "gateway/route_request.hpp"

#include "base/log.hpp"
#include "fleet/choose_upstream.hpp"
#include "fleet/try_outcome.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/departures.hpp"
#include "gateway/job_work.hpp"
#include "gateway/measure.hpp"
#include "gateway/permits.hpp"
#include "gateway/refresh.hpp"
#include "gateway/request_costs.hpp"
#include "gateway/unsent_requests.hpp"
#include "http/status.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// Delay before looking for a free upstream again.
constexpr base::duration retry_interval = std::chrono::milliseconds(10);

// A try that has less time than this until the deadline can't succeed.
constexpr base::duration min_try_duration = std::chrono::milliseconds(5);

// The answer at the deadline must reach the caller before the caller gives up.
constexpr base::duration answer_margin = std::chrono::milliseconds(15);

routed_request* find(gateway& self, std::uint64_t number)
{
    auto const it = self.requests.find(number);
    return it != self.requests.end() ? it->second.get() : nullptr;
}

void finish(gateway& self, routed_request& request, routed_outcome outcome)
{
    outcome.started_at = request.started_at;
    outcome.tries = request.tries;
    for (auto const& [number, running] : request.running_tries)
    {
        fleet::note_request_ended(self.pool, running.upstream, running.work);
        note_abandoned_cost(self, running, base::mono_now());
    }
    // Keeps the request alive until the handler has returned: the caller's frame may use it.
    auto const it = self.requests.find(request.number);
    auto const owned = std::move(it->second);
    self.requests.erase(it);
    owned->running_tries.clear();
    owned->done(std::move(outcome));
}

void finish_without_answer(gateway& self, routed_request& request, outcome_kind kind,
                           result_code code, std::string message)
{
    routed_outcome outcome;
    outcome.kind = kind;
    outcome.error = {code, std::move(message)};
    finish(self, request, std::move(outcome));
}

void try_next(gateway& self, routed_request& request);

void schedule_retry(gateway& self, routed_request& request)
{
    request.retry_timer = base::at(base::mono_now() + retry_interval,
                                   [&self, number = request.number]
                                   {
                                       if (auto* const found = find(self, number))
                                       {
                                           try_next(self, *found);
                                       }
                                   });
}

fleet::try_outcome outcome_of(http::fetch_outcome const& answer,
                              platform::response_head const& head, std::string const& request_id)
{
    using fleet::try_outcome;
    if (!answer)
    {
        return answer.error().sent ? try_outcome::lost : try_outcome::not_run;
    }
    // The answer belongs to an earlier request on this connection, or to no request.
    if (head.request_id && *head.request_id != request_id)
    {
        return try_outcome::lost;
    }
    if (head.not_run)
    {
        return try_outcome::not_run;
    }
    if (http::status::is_success(answer->status) && (!head.server_stamp || !head.request_id))
    {
        return try_outcome::lost;
    }
    return http::status::is_server_error(answer->status) ? try_outcome::failed
                                                         : try_outcome::answered;
}

void update_pool(gateway& self, routed_try const& ended, fleet::try_outcome outcome,
                 http::fetch_outcome const& answer, base::mono_time now)
{
    switch (outcome)
    {
    case fleet::try_outcome::answered:
    case fleet::try_outcome::failed:
        fleet::note_answer_time(self.pool, ended.upstream, now - ended.sent_at, now,
                                ended.work.left);
        break;
    case fleet::try_outcome::not_run:
        if (ended.withdrawn)
        {
            break;
        }
        if (answer && answer->status != http::status::misdirected)
        {
            fleet::note_full(self.pool, ended.upstream, now);
            break;
        }
        [[fallthrough]];
    case fleet::try_outcome::lost:
        fleet::note_failure(self.pool, ended.upstream, now);
        break;
    }
}

void record_try(gateway& self, routed_request const& request, routed_try const& ended,
                fleet::try_outcome outcome, http::fetch_outcome const& answer)
{
    constexpr std::array<std::string_view, 4> names = {"answered", "failed", "not_run", "lost"};
    count_try(self, request.spec.service, names.at(static_cast<std::size_t>(outcome)));
    if (outcome == fleet::try_outcome::answered)
    {
        return;
    }
    base::log_line(base::log_level::info, "try_ended",
                   {{"request", request.spec.request_id},
                    {"upstream", ended.upstream},
                    {"outcome", names.at(static_cast<std::size_t>(outcome))},
                    {"status", answer ? std::int64_t{answer->status} : 0},
                    {"reason", answer ? "" : answer.error().why.message},
                    {"runs", std::int64_t{request.runs}}});
}

/// Tells the crash watch how a try ended.
void note_try(gateway& self, routed_request& request, routed_try const& ended,
              fleet::try_outcome outcome, http::fetch_outcome const& answer)
{
    if (!answer)
    {
        bool const is_broken = answer.error().sent && !answer.error().timed_out &&
                               answer.error().why.code == result_code::connection_lost;
        if (is_broken)
        {
            note_broken_try(self, request.spec, ended);
        }
        return;
    }
    // Other answers may come from elsewhere: they don't tell that the upstream lives.
    if (outcome == fleet::try_outcome::answered || outcome == fleet::try_outcome::failed)
    {
        note_upstream_answered(self, ended);
    }
    if (outcome == fleet::try_outcome::answered && http::status::is_success(answer->status))
    {
        note_served(self, request.spec);
    }
}

routed_outcome answered_outcome(http::fetch_outcome& answer, routed_try const& ended)
{
    routed_outcome outcome;
    outcome.kind = outcome_kind::answered;
    outcome.answer = std::move(*answer);
    outcome.upstream = ended.upstream;
    outcome.origin = ended.origin;
    outcome.is_origin_certain = ended.is_origin_certain;
    return outcome;
}

void perform_step(gateway& self, routed_request& request, fleet::next_step step)
{
    switch (step)
    {
    case fleet::next_step::wait:
        return;
    case fleet::next_step::try_elsewhere:
        try_next(self, request);
        return;
    case fleet::next_step::refuse:
        finish_without_answer(self, request, outcome_kind::refused, result_code::overloaded,
                              "no upstream accepted the request");
        return;
    case fleet::next_step::deliver:
    case fleet::next_step::give_up:
        break;
    }
    if (request.failed_answer)
    {
        auto answer = std::move(*request.failed_answer);
        finish(self, request, std::move(answer));
        return;
    }
    finish_without_answer(self, request, outcome_kind::unknown, result_code::outcome_unknown,
                          "the upstream's answer was lost");
}

void on_try_ended(gateway& self, std::uint64_t number, std::uint32_t index,
                  http::fetch_outcome answer)
{
    auto* const request = find(self, number);
    if (request == nullptr)
    {
        return;
    }
    auto const now = base::mono_now();
    auto node = request->running_tries.extract(index);
    auto const& ended = node.mapped();
    fleet::note_request_ended(self.pool, ended.upstream, ended.work);
    auto const head = answer ? platform::decode_response_head(answer->status, answer->headers)
                             : platform::response_head{};
    auto const outcome = outcome_of(answer, head, request->spec.request_id);
    update_pool(self, ended, outcome, answer, now);
    record_departure(self, ended.incarnation, head, request->spec.request_id);
    if (head.request_id == request->spec.request_id)
    {
        record_rate_limit(self, ended.upstream, head, answer->status, ended.sent_at);
    }
    record_try(self, *request, ended, outcome, answer);
    note_try(self, *request, ended, outcome, answer);
    if (outcome == fleet::try_outcome::not_run)
    {
        --request->runs;
        std::erase(request->tried_upstreams, ended.upstream);
    }
    else if (!request->started_at)
    {
        request->started_at = ended.started_at;
    }
    if (outcome == fleet::try_outcome::answered)
    {
        note_answered_cost(self, request->spec, now - ended.sent_at);
        finish(self, *request, answered_outcome(answer, ended));
        return;
    }
    if (outcome == fleet::try_outcome::failed)
    {
        request->failed_answer = answered_outcome(answer, ended);
    }
    bool const has_time = now + min_try_duration < request->spec.deadline;
    perform_step(self, *request,
                 fleet::decide_next_step(
                     {outcome, request->spec.idempotent, request->runs, request->spec.max_runs,
                      static_cast<std::uint32_t>(request->running_tries.size()), has_time}));
}

bool may_hedge(gateway const& self, routed_request& request)
{
    return request.runs < request.spec.max_runs &&
           !is_crash_suspect(self, request.spec, base::mono_now());
}

void schedule_hedge(gateway& self, routed_request& request)
{
    if (!request.spec.idempotent || request.runs >= request.spec.max_runs ||
        request.spec.hedge_delay.count() == 0)
    {
        return;
    }
    request.hedge_timer = base::at(base::mono_now() + request.spec.hedge_delay,
                                   [&self, number = request.number]
                                   {
                                       auto* const found = find(self, number);
                                       if (found != nullptr && may_hedge(self, *found))
                                       {
                                           try_next(self, *found);
                                       }
                                   });
}

/// Whether what this process knows is recent enough to send a request: of its job, if it is made
/// for one, and of the versions of the upstreams, if one version must serve it.
bool may_be_sent(gateway const& self, routed_spec const& spec, base::mono_time now)
{
    return (!spec.sample || may_send_job_work(self, now)) &&
           (spec.software_version.empty() || has_current_upstreams(self, now));
}

bool may_send_try(gateway& self, std::uint64_t number, std::uint32_t index)
{
    auto* const request = find(self, number);
    if (request == nullptr)
    {
        return false;
    }
    auto& pending = request->running_tries.at(index);
    auto const now = base::mono_now();
    pending.withdrawn = !may_still_send(self, pending.incarnation, pending.origin.service) ||
                        !may_be_sent(self, request->spec, now);
    pending.is_origin_certain = has_current_upstreams(self, now);
    return !pending.withdrawn;
}

void send_to(gateway& self, routed_request& request, fleet::chosen_upstream const& chosen,
             base::mono_time now)
{
    auto const index = ++request.tries;
    ++request.runs;
    request.tried_upstreams.push_back(chosen.id);
    platform::upstream_target const target{
        chosen.id,         chosen.address,          request.spec.host,
        request.spec.team, request.spec.request_id, request.spec.deadline};
    auto& started_try = request.running_tries[index];
    started_try.work.left = expected_cost(self, request.spec);
    fleet::note_request_sent(self.pool, chosen.id, now, started_try.work);
    started_try.upstream = chosen.id;
    started_try.incarnation = fleet::incarnation_of(chosen);
    started_try.origin = {chosen.service, chosen.software_version};
    started_try.sent_at = now;
    started_try.started_at = base::wall_now();
    started_try.fetch = http::start_fetch(
        self.upstream_session.get(), platform::encode_plain(target, request.spec.call, now),
        request.spec.deadline, self.response_limits.max_response_bytes,
        [&self, number = request.number, index](http::fetch_outcome answer)
        { on_try_ended(self, number, index, std::move(answer)); },
        [&self, number = request.number, index] { return may_send_try(self, number, index); });
    schedule_hedge(self, request);
}

/// Ends a request that crashes upstreams, once no try of it is in progress.
void stop_crashing_request(gateway& self, routed_request& request, base::mono_time until)
{
    if (!request.running_tries.empty())
    {
        return;
    }
    if (request.runs > 0)
    {
        perform_step(self, request, fleet::next_step::give_up);
        return;
    }
    routed_outcome outcome;
    outcome.kind = outcome_kind::refused;
    outcome.error = refuse_crashing_request(self, request.spec);
    outcome.refused_until = until;
    finish(self, request, std::move(outcome));
}

void try_next(gateway& self, routed_request& request)
{
    auto const now = base::mono_now();
    if (auto const until = refused_until(self, request.spec, now))
    {
        stop_crashing_request(self, request, *until);
        return;
    }
    fleet::plain_requirements const need{
        request.spec.service,          self.settings.domain,    request.tried_upstreams,
        request.spec.software_version, request.spec.request_id, expected_cost(self, request.spec)};
    auto const chosen = may_be_sent(self, request.spec, now)
                            ? fleet::choose_plain(self.pool, *self.configuration, need, now)
                            : std::nullopt;
    request_wanted_permits(self);
    if (chosen)
    {
        send_to(self, request, *chosen, now);
        return;
    }
    if (!request.running_tries.empty())
    {
        return;
    }
    if (now < request.spec.dispatch_deadline)
    {
        schedule_retry(self, request);
        return;
    }
    // No other upstream takes the request. If it may have run, the tries so far decide the outcome.
    perform_step(self, request,
                 request.runs == 0 ? fleet::next_step::refuse : fleet::next_step::give_up);
}

void note_abandoned_tries(gateway& self, routed_request& request)
{
    for (auto const& [index, running] : request.running_tries)
    {
        if (http::is_sent(*running.fetch))
        {
            note_abandoned_try(self, request.spec, running);
        }
    }
}

void on_deadline(gateway& self, routed_request& request)
{
    note_abandoned_tries(self, request);
    if (request.runs == 0)
    {
        finish_without_answer(self, request, outcome_kind::refused, result_code::deadline_passed,
                              "no upstream was free before the deadline");
        return;
    }
    if (!request.started_at)
    {
        // Sent but not answered, so it must count as run.
        request.started_at = request.running_tries.begin()->second.started_at;
    }
    if (request.failed_answer)
    {
        perform_step(self, request, fleet::next_step::give_up);
        return;
    }
    finish_without_answer(self, request, outcome_kind::unknown, result_code::deadline_passed,
                          "no upstream answered before the deadline");
}

} // namespace

std::uint64_t start_request(gateway& self, routed_spec spec,
                            std::function<void(routed_outcome)> done)
{
    auto const number = ++self.last_number;
    auto& request = *(self.requests[number] = std::make_unique<routed_request>());
    request.number = number;
    request.spec = std::move(spec);
    request.done = std::move(done);
    request.deadline_timer = base::at(request.spec.deadline - answer_margin,
                                      [&self, number]
                                      {
                                          if (auto* const found = find(self, number))
                                          {
                                              on_deadline(self, *found);
                                          }
                                      });
    // Deferred to the loop, so that the caller has the number before `done` is called.
    request.retry_timer = base::soon(
        [&self, number]
        {
            if (auto* const found = find(self, number))
            {
                try_next(self, *found);
            }
        });
    return number;
}

void end_requests(gateway& self)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, request] : self.requests)
    {
        numbers.push_back(number);
    }
    for (auto const number : numbers)
    {
        if (auto* const found = find(self, number))
        {
            on_deadline(self, *found);
        }
    }
}

std::optional<base::wall_time> cancel_request(gateway& self, std::uint64_t number)
{
    auto const it = self.requests.find(number);
    if (it == self.requests.end())
    {
        return std::nullopt;
    }
    auto started_at = it->second->started_at;
    note_abandoned_tries(self, *it->second);
    for (auto const& [index, running] : it->second->running_tries)
    {
        fleet::note_request_ended(self.pool, running.upstream, running.work);
        started_at = started_at.value_or(running.started_at);
    }
    self.requests.erase(it);
    return started_at;
}

void cancel_requests_if(gateway& self, std::function<bool(routed_spec const&)> const& condition)
{
    std::vector<std::uint64_t> numbers;
    for (auto const& [number, request] : self.requests)
    {
        if (condition(request->spec))
        {
            numbers.push_back(number);
        }
    }
    for (auto const number : numbers)
    {
        (void)cancel_request(self, number);
    }
}

void withdraw_unsent_tries(gateway& self)
{
    std::vector<std::pair<std::uint64_t, std::uint32_t>> affected;
    for (auto& [number, request] : self.requests)
    {
        for (auto& [index, pending] : request->running_tries)
        {
            if (!http::is_sent(*pending.fetch) &&
                !fleet::is_serving(self.pool, pending.incarnation, pending.origin.service))
            {
                pending.withdrawn = true;
                affected.emplace_back(number, index);
            }
        }
    }
    for (auto const& [number, index] : affected)
    {
        http::failed_call const withdrawn{
            {result_code::upstream_leaving, "the upstream left before the request was sent"}};
        on_try_ended(self, number, index, tl::unexpected(withdrawn));
    }
}

} // namespace gooseberrywood::gateway
