#include "gateway/route_request.hpp"

#include "base/log.hpp"
#include "fleet/choose_upstream.hpp"
#include "fleet/try_outcome.hpp"
#include "gateway/crash_watch.hpp"
#include "gateway/departures.hpp"
#include "gateway/end_request.hpp"
#include "gateway/job_work.hpp"
#include "gateway/measure.hpp"
#include "gateway/permits.hpp"
#include "gateway/refresh.hpp"
#include "gateway/request_costs.hpp"
#include "gateway/request_queue.hpp"
#include "gateway/try_record.hpp"
#include "gateway/unsent_requests.hpp"
#include "http/status.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// A try that has less time than this until the deadline can't succeed.
constexpr base::duration min_try_duration = std::chrono::milliseconds(5);

// The answer at the deadline must reach the caller before the caller gives up.
constexpr base::duration answer_margin = std::chrono::milliseconds(15);

constexpr std::size_t max_answer_bytes = 32 * 1024 * 1024;

void try_next(gateway& self, routed_request& request);

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
    finish_with_tries(self, request);
}

void on_try_ended(gateway& self, std::uint64_t number, std::uint32_t index,
                  http::fetch_outcome answer)
{
    auto* const request = find_request(self, number);
    if (request == nullptr)
    {
        return;
    }
    auto const now = base::mono_now();
    auto node = request->running_tries.extract(index);
    auto const& ended = node.mapped();
    release_try(self, request->spec, ended);
    auto const head = answer ? platform::decode_response_head(answer->status, answer->headers)
                             : platform::response_head{};
    auto const outcome = outcome_of(answer, head, request->spec.request_id);
    update_pool(self, ended, outcome, answer, now);
    bool const is_full_answer = outcome == fleet::try_outcome::not_run && answer &&
                                answer->status != http::status::misdirected;
    measure_try(self, request->spec, ended, outcome, is_full_answer && !ended.withdrawn);
    record_departure(self, ended.incarnation, head, request->spec.request_id);
    if (head.request_id == request->spec.request_id)
    {
        record_rate_limit(self, ended.upstream, head, answer->status, ended.sent_at);
    }
    record_try(self, *request, ended, outcome, answer);
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
    return !request.running_tries.empty() && request.runs < request.spec.max_runs &&
           !is_crash_suspect(self, request.spec, base::mono_now());
}

void hedge(gateway& self, routed_request& request);

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
                                       auto* const found = find_request(self, number);
                                       if (found != nullptr && may_hedge(self, *found))
                                       {
                                           hedge(self, *found);
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
    auto* const request = find_request(self, number);
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
    note_try_sent(self, request.spec);
    auto& started_try = request.running_tries[index];
    started_try.upstream = chosen.id;
    started_try.work.left = expected_cost(self, request.spec);
    fleet::note_request_sent(self.pool, chosen.id, now, started_try.work);
    started_try.incarnation = fleet::incarnation_of(chosen);
    started_try.origin = {chosen.service, chosen.software_version};
    started_try.sent_at = now;
    started_try.started_at = base::wall_now();
    started_try.fetch = http::start_fetch(
        self.upstream_session.get(), platform::encode_plain(target, request.spec.call, now),
        request.spec.deadline, max_answer_bytes,
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
        finish_with_tries(self, request);
        return;
    }
    routed_outcome outcome;
    outcome.kind = outcome_kind::refused;
    outcome.error = refuse_crashing_request(self, request.spec);
    outcome.refused_until = until;
    finish(self, request, std::move(outcome));
}

send_result send_or_stop(gateway& self, routed_request& request)
{
    auto const now = base::mono_now();
    if (auto const until = refused_until(self, request.spec, now))
    {
        stop_crashing_request(self, request, *until);
        return send_result::ended;
    }
    fleet::plain_requirements const need{
        request.spec.service,          self.settings.domain,    request.tried_upstreams,
        request.spec.software_version, request.spec.request_id, expected_cost(self, request.spec)};
    auto const chosen = may_be_sent(self, request.spec, now)
                            ? fleet::choose_plain(self.pool, *self.configuration, need, now)
                            : std::nullopt;
    request_wanted_permits(self);
    if (!chosen)
    {
        return send_result::no_upstream;
    }
    send_to(self, request, *chosen, now);
    return send_result::sent;
}

/// Sends another try beside those in progress, if an upstream and the budget of the service allow
/// it. It is not made up for later: the tries in progress may be answered first.
void hedge(gateway& self, routed_request& request)
{
    if (may_hedge_now(self, request.spec) && send_or_stop(self, request) == send_result::sent)
    {
        charge_hedge(self, request.spec);
    }
}

void try_next(gateway& self, routed_request& request)
{
    if (request.running_tries.empty())
    {
        wait_for_upstream(self, request);
        return;
    }
    hedge(self, request);
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
    note_request_arrived(self, request.spec);
    request.deadline_timer = base::at(request.spec.deadline - answer_margin,
                                      [&self, number]
                                      {
                                          if (auto* const found = find_request(self, number))
                                          {
                                              end_at_deadline(self, *found);
                                          }
                                      });
    // Deferred to the loop, so that the caller has the number before `done` is called.
    request.start_soon = base::soon(
        [&self, number]
        {
            if (auto* const found = find_request(self, number))
            {
                try_next(self, *found);
            }
        });
    return number;
}

bool may_use_any_upstream(gateway& self, std::uint64_t number)
{
    auto const* const request = find_request(self, number);
    return request != nullptr && request->tried_upstreams.empty() &&
           request->spec.software_version.empty() &&
           may_be_sent(self, request->spec, base::mono_now());
}

send_result send_request(gateway& self, std::uint64_t number)
{
    auto* const request = find_request(self, number);
    return request != nullptr ? send_or_stop(self, *request) : send_result::ended;
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
