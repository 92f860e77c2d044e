#include "agent/work.hpp"

#include "agent/health.hpp"
#include "agent/measure.hpp"
#include "agent/replies.hpp"
#include "agent/reports.hpp"

#include "base/log.hpp"

#include <algorithm>

namespace gooseberrywood::agent
{

namespace
{

using admission::attempt_key;
using admission::attempt_outcome;

constexpr std::uint16_t too_many_requests = 429;
constexpr std::uint16_t service_unavailable = 503;

// An engine that sends no token for so long is taken as hung. First tokens of long prompts and a
// full batch stay well below it; the entry resumes the answer on another upstream.
constexpr base::duration stall_limit = std::chrono::seconds(10);

// A non-idempotent attempt whose caller gave up runs on, so that its outcome is known, but not for
// ever: it holds a place in the limit.
constexpr base::duration overrun_limit = std::chrono::seconds(60);

bool is_overload(std::uint16_t status)
{
    return status == too_many_requests || status == service_unavailable;
}

attempt_outcome outcome_of(std::uint16_t status)
{
    constexpr std::uint16_t first_server_error = 500;
    if (is_overload(status))
    {
        return attempt_outcome::overloaded;
    }
    return status < first_server_error ? attempt_outcome::completed : attempt_outcome::failed;
}

admission::finish_report make_report(execution const& e, attempt_outcome outcome)
{
    auto const now = base::mono_now();
    admission::finish_report report;
    report.outcome = outcome;
    report.generated_tokens = e.stream.next_token - e.attempt.resume_tokens;
    report.prompt_tokens = e.stream.prompt_tokens;
    report.total = now - e.began;
    if (e.first_token_at != base::mono_time{})
    {
        report.first_token = e.first_token_at - e.began;
    }
    return report;
}

// Takes an execution out of the upstream and counts its end.
std::unique_ptr<execution> take_ended(agent_process& agent, upstream& where, attempt_key const& key,
                                      attempt_outcome outcome)
{
    auto const at = where.executions.find(key);
    if (at == where.executions.end())
    {
        return nullptr;
    }
    auto ended = std::move(at->second);
    where.executions.erase(at);
    count_end(agent, where, *ended, outcome);
    admission::finish_attempt(where.point, key.id, key.attempt, make_report(*ended, outcome),
                              base::mono_now());
    return ended;
}

void on_finished(agent_process& agent, upstream& where, std::uint64_t entry, wire::finished message)
{
    attempt_key const key{message.id, message.attempt};
    auto const ended = take_ended(agent, where, key, outcome_of(message.status));
    if (!ended)
    {
        return;
    }
    if (is_overload(message.status) && ended->attempt.idempotent)
    {
        send_lost(agent, entry, key,
                  {base::result_code::upstream_error, "the upstream refused for overload"});
    }
    else
    {
        send_to(agent, entry, std::move(message));
    }
    pump(agent, where);
    stop_if_idle(agent);
}

void on_failed(agent_process& agent, upstream& where, std::uint64_t entry, attempt_key const& key,
               execution_failure const& failure)
{
    if (!failure.sent)
    {
        // It can't have caused whatever is wrong with the upstream, so it must not be marked.
        if (take_ended(agent, where, key, attempt_outcome::failed))
        {
            send_to(agent, entry,
                    wire::refuse{key.id, key.attempt, base::result_code::no_upstream, true,
                                 wire::to_wall(base::mono_now()), failure.why.message});
        }
        probe(agent, where);
        return;
    }
    if (failure.connection_broke)
    {
        // Counted as running until the probe tells whether the upstream crashed with it.
        where.executions.erase(key);
        where.broken.push_back({key, entry, failure.why});
        probe(agent, where);
        return;
    }
    if (take_ended(agent, where, key, attempt_outcome::failed))
    {
        send_lost(agent, entry, key, failure.why);
    }
    pump(agent, where);
    stop_if_idle(agent);
}

execution_handlers make_handlers(agent_process& agent, upstream& where,
                                 admission::queued_start const& item)
{
    attempt_key const key{item.request.id, item.request.attempt};
    auto const entry = item.entry;
    return {[&agent, entry, key] {
                send_to(agent, entry, wire::started{key.id, key.attempt});
            },
            [&agent, entry](wire::chunk message) { send_to(agent, entry, std::move(message)); },
            [&agent, &where, entry](wire::finished message)
            { on_finished(agent, where, entry, std::move(message)); },
            [&agent, &where, entry, key](execution_failure const& failure)
            {
                on_failed(agent, where, entry, key, failure);
            }};
}

void start_attempt(agent_process& agent, upstream& where, admission::queued_start item)
{
    attempt_key const key{item.request.id, item.request.attempt};
    auto const entry = item.entry;
    auto handlers = make_handlers(agent, where, item);
    auto run = execute(agent.session.get(), where.settings.url, where.is_engine,
                       std::move(item.request), std::move(handlers));
    if (!run)
    {
        admission::finish_attempt(where.point, key.id, key.attempt,
                                  {attempt_outcome::canceled, 0, 0, {}, {}}, base::mono_now());
        send_lost(agent, entry, key, run.error());
        return;
    }
    where.executions.emplace(key, std::move(*run));
}

void schedule_deadline(agent_process& agent, upstream& where)
{
    auto const deadline = admission::next_deadline(where.point);
    where.deadline_timer =
        deadline ? base::at(*deadline, [&agent, &where] { pump(agent, where); }) : nullptr;
}

bool is_stalled(execution const& e, base::mono_time now)
{
    return e.is_engine && e.attempt.idempotent && now - e.progress_at > stall_limit;
}

} // namespace

void pump(agent_process& agent, upstream& where)
{
    while (true)
    {
        auto answer = admission::start_next(where.point, base::mono_now());
        send_refusals(agent, answer.refused);
        if (!answer.start)
        {
            break;
        }
        start_attempt(agent, where, std::move(*answer.start));
    }
    schedule_deadline(agent, where);
    report_load(agent, where);
}

void abort_attempts(agent_process& agent, upstream& where,
                    std::span<admission::running_attempt const> attempts)
{
    for (auto const& a : attempts)
    {
        attempt_key const key{a.id, a.attempt};
        if (!take_ended(agent, where, key, attempt_outcome::canceled))
        {
            // Its connection broke already and a probe is under way.
            admission::finish_attempt(where.point, key.id, key.attempt,
                                      {attempt_outcome::canceled, 0, 0, {}, {}}, base::mono_now());
        }
    }
}

void end_overdue(agent_process& agent, upstream& where, base::mono_time now)
{
    std::vector<std::pair<attempt_key, std::uint64_t>> overdue;
    for (auto const& [key, running] : where.point.running)
    {
        auto const at = where.executions.find(key);
        bool const stalled = at != where.executions.end() && is_stalled(*at->second, now);
        if (stalled || now > running.deadline + overrun_limit)
        {
            overdue.emplace_back(key, running.entry);
        }
    }
    for (auto const& [key, entry] : overdue)
    {
        base::log_line(base::log_level::warning, "attempt_overdue",
                       {{"upstream", std::string_view(where.settings.name)},
                        {"request_id", std::string_view(base::to_string(key.id))}});
        // A stall says that the upstream is overloaded or hung, so the limit falls.
        if (take_ended(agent, where, key, attempt_outcome::overloaded))
        {
            send_lost(agent, entry, key,
                      {base::result_code::upstream_error, "the upstream stopped answering"});
        }
    }
    if (!overdue.empty())
    {
        pump(agent, where);
        stop_if_idle(agent);
    }
}

} // namespace gooseberrywood::agent
