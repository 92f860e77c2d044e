#include "gateway/route_request.hpp"

#include "base/log.hpp"
#include "fleet/choose_upstream.hpp"
#include "fleet/try_outcome.hpp"
#include "gateway/measure.hpp"
#include "http/status.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

using base::result_code;

// Pause before the next look for a free upstream.
constexpr base::duration look_again = std::chrono::milliseconds(10);

// A try that starts later than this before the deadline has no chance.
constexpr base::duration shortest_try = std::chrono::milliseconds(5);

// The answer at the deadline has to reach the caller before it gives up.
constexpr base::duration answer_margin = std::chrono::milliseconds(15);

constexpr std::size_t max_answer_bytes = 32 * 1024 * 1024;

routed_request* find(gateway& self, std::uint64_t number)
{
    auto const at = self.requests.find(number);
    return at != self.requests.end() ? at->second.get() : nullptr;
}

void finish(gateway& self, routed_request& of, routed_outcome outcome)
{
    outcome.began = of.began;
    outcome.tries = of.tries;
    for (auto const& [number, one] : of.running)
    {
        fleet::note_request_ended(self.pool, one.upstream);
    }
    // Kept until the handler has returned: the caller's frame may use it.
    auto const at = self.requests.find(of.number);
    auto const owned = std::move(at->second);
    self.requests.erase(at);
    owned->running.clear();
    owned->done(std::move(outcome));
}

void finish_without_answer(gateway& self, routed_request& of, outcome_kind end, result_code code,
                           std::string why)
{
    routed_outcome outcome;
    outcome.kind = end;
    outcome.error = {code, std::move(why)};
    finish(self, of, std::move(outcome));
}

void try_next(gateway& self, routed_request& of);

void look_again_later(gateway& self, routed_request& of)
{
    of.retry_timer = base::at(base::mono_now() + look_again,
                              [&self, number = of.number]
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
    // A late answer to an earlier request of the connection, or one that nobody asked for.
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

void learn(gateway& self, routed_try const& from, fleet::try_outcome outcome,
           http::fetch_outcome const& answer, base::mono_time now)
{
    switch (outcome)
    {
    case fleet::try_outcome::answered:
    case fleet::try_outcome::failed:
        fleet::note_answer_time(self.pool, from.upstream, now - from.sent_at, now);
        break;
    case fleet::try_outcome::not_run:
        if (answer && answer->status != http::status::misdirected)
        {
            fleet::note_full(self.pool, from.upstream, now);
            break;
        }
        [[fallthrough]];
    case fleet::try_outcome::lost:
        fleet::note_failure(self.pool, from.upstream, now);
        break;
    }
}

void log_try(gateway& self, routed_request const& of, routed_try const& one,
             fleet::try_outcome outcome, http::fetch_outcome const& answer)
{
    constexpr std::array<std::string_view, 4> names = {"answered", "failed", "not_run", "lost"};
    count_try(self, of.spec.service, names.at(static_cast<std::size_t>(outcome)));
    if (outcome == fleet::try_outcome::answered)
    {
        return;
    }
    base::log_line(base::log_level::info, "try_ended",
                   {{"request", of.spec.request_id},
                    {"upstream", one.upstream},
                    {"outcome", names.at(static_cast<std::size_t>(outcome))},
                    {"status", answer ? std::int64_t{answer->status} : 0},
                    {"reason", answer ? "" : answer.error().why.message},
                    {"runs", std::int64_t{of.runs}}});
}

routed_outcome answered_outcome(http::fetch_outcome& answer, std::string upstream)
{
    routed_outcome outcome;
    outcome.kind = outcome_kind::answered;
    outcome.answer = std::move(*answer);
    outcome.upstream = std::move(upstream);
    return outcome;
}

void take_step(gateway& self, routed_request& of, fleet::next_step step)
{
    switch (step)
    {
    case fleet::next_step::wait:
        return;
    case fleet::next_step::try_elsewhere:
        try_next(self, of);
        return;
    case fleet::next_step::refuse:
        finish_without_answer(self, of, outcome_kind::refused, result_code::overloaded,
                              "no upstream takes the request");
        return;
    case fleet::next_step::deliver:
    case fleet::next_step::give_up:
        break;
    }
    if (of.failed_answer)
    {
        auto answer = std::move(*of.failed_answer);
        finish(self, of, std::move(answer));
        return;
    }
    finish_without_answer(self, of, outcome_kind::unknown, result_code::outcome_unknown,
                          "the upstream's answer is lost");
}

void on_try_ended(gateway& self, std::uint64_t number, std::uint32_t index,
                  http::fetch_outcome answer)
{
    auto* const of = find(self, number);
    if (of == nullptr)
    {
        return;
    }
    auto const now = base::mono_now();
    auto node = of->running.extract(index);
    auto const& ended = node.mapped();
    fleet::note_request_ended(self.pool, ended.upstream);
    auto const head = answer ? platform::decode_response_head(answer->status, answer->headers)
                             : platform::response_head{};
    auto const outcome = outcome_of(answer, head, of->spec.request_id);
    learn(self, ended, outcome, answer, now);
    log_try(self, *of, ended, outcome, answer);
    if (outcome == fleet::try_outcome::not_run)
    {
        --of->runs;
        std::erase(of->tried, ended.upstream);
    }
    else if (!of->began)
    {
        of->began = ended.began;
    }
    if (outcome == fleet::try_outcome::answered)
    {
        finish(self, *of, answered_outcome(answer, ended.upstream));
        return;
    }
    if (outcome == fleet::try_outcome::failed)
    {
        of->failed_answer = answered_outcome(answer, ended.upstream);
    }
    bool const has_time = now + shortest_try < of->spec.deadline;
    take_step(self, *of,
              fleet::decide_next_step({outcome, of->spec.idempotent, of->runs, of->spec.max_runs,
                                       static_cast<std::uint32_t>(of->running.size()), has_time}));
}

void plan_hedge(gateway& self, routed_request& of)
{
    if (!of.spec.idempotent || of.runs >= of.spec.max_runs || of.spec.hedge_delay.count() == 0)
    {
        return;
    }
    of.hedge_timer = base::at(base::mono_now() + of.spec.hedge_delay,
                              [&self, number = of.number]
                              {
                                  auto* const found = find(self, number);
                                  if (found != nullptr && found->runs < found->spec.max_runs)
                                  {
                                      try_next(self, *found);
                                  }
                              });
}

void send_to(gateway& self, routed_request& of, fleet::chosen_upstream const& chosen,
             base::mono_time now)
{
    auto const index = ++of.tries;
    ++of.runs;
    of.tried.push_back(chosen.id);
    platform::upstream_target const to{chosen.id,    chosen.address,     of.spec.host,
                                       of.spec.team, of.spec.request_id, of.spec.deadline};
    fleet::note_request_sent(self.pool, chosen.id, now);
    auto& made = of.running[index];
    made.upstream = chosen.id;
    made.sent_at = now;
    made.began = base::wall_now();
    made.fetch = http::start_fetch(self.upstream_session.get(),
                                   platform::encode_plain(to, of.spec.call, now), of.spec.deadline,
                                   max_answer_bytes,
                                   [&self, number = of.number, index](http::fetch_outcome answer)
                                   { on_try_ended(self, number, index, std::move(answer)); });
    plan_hedge(self, of);
}

void try_next(gateway& self, routed_request& of)
{
    auto const now = base::mono_now();
    fleet::plain_requirements const need{of.spec.service, self.settings.domain, of.tried};
    if (auto const chosen = fleet::choose_plain(self.pool, *self.configuration, need, now))
    {
        send_to(self, of, *chosen, now);
        return;
    }
    if (!of.running.empty())
    {
        return;
    }
    if (now < of.spec.dispatch_deadline)
    {
        look_again_later(self, of);
        return;
    }
    // Upstreams that it was tried at are as good as none; what they answered counts.
    take_step(self, of, of.runs == 0 ? fleet::next_step::refuse : fleet::next_step::give_up);
}

void on_deadline(gateway& self, routed_request& of)
{
    if (of.runs == 0)
    {
        finish_without_answer(self, of, outcome_kind::refused, result_code::deadline_passed,
                              "no upstream was free before the deadline");
        return;
    }
    if (!of.began)
    {
        // Sent and unanswered: it has to count as run.
        of.began = of.running.begin()->second.began;
    }
    if (of.failed_answer)
    {
        take_step(self, of, fleet::next_step::give_up);
        return;
    }
    finish_without_answer(self, of, outcome_kind::unknown, result_code::deadline_passed,
                          "no upstream answered before the deadline");
}

} // namespace

std::uint64_t start_request(gateway& self, routed_spec spec,
                            std::function<void(routed_outcome)> done)
{
    auto const number = ++self.last_number;
    auto& made = *(self.requests[number] = std::make_unique<routed_request>());
    made.number = number;
    made.spec = std::move(spec);
    made.done = std::move(done);
    made.deadline_timer = base::at(made.spec.deadline - answer_margin,
                                   [&self, number]
                                   {
                                       if (auto* const found = find(self, number))
                                       {
                                           on_deadline(self, *found);
                                       }
                                   });
    // From the loop, so that the owner has stored the number when the outcome comes.
    made.retry_timer = base::soon(
        [&self, number]
        {
            if (auto* const found = find(self, number))
            {
                try_next(self, *found);
            }
        });
    return number;
}

std::optional<base::wall_time> cancel_request(gateway& self, std::uint64_t number)
{
    auto const at = self.requests.find(number);
    if (at == self.requests.end())
    {
        return std::nullopt;
    }
    auto began = at->second->began;
    for (auto const& [index, one] : at->second->running)
    {
        fleet::note_request_ended(self.pool, one.upstream);
        began = began.value_or(one.began);
    }
    self.requests.erase(at);
    return began;
}

} // namespace gooseberrywood::gateway
