#include "routing/attempt_log.hpp"

#include "base/invariant.hpp"
#include "routing/backoff.hpp"

#include <algorithm>
#include <optional>

namespace gooseberrywood::routing
{

namespace
{

using rc = base::result_code;

bool has_attempt_in_flight(attempt_log const& log)
{
    return log.phase == request_phase::sent || log.phase == request_phase::started ||
           log.phase == request_phase::fencing;
}

/// Whether an event belongs to the attempt in flight. Evidence that an earlier attempt ran is kept
/// even if an agent has reported "not run" for it, so that a request in doubt never fails as "not
/// run".
bool match_attempt(attempt_log& log, std::uint32_t attempt, bool has_run)
{
    if (attempt == log.attempt && has_attempt_in_flight(log))
    {
        return true;
    }
    log.earlier_may_have_run = log.earlier_may_have_run || (has_run && attempt <= log.attempt);
    return false;
}

void record_run(attempt_log& log)
{
    log.attempt_ran = true;
    if (log.phase == request_phase::sent)
    {
        log.phase = request_phase::started;
    }
}

/// Result code of a request that may have run, in place of a code that means "not run".
rc code_after_run(attempt_log const& log, rc code)
{
    if (code == rc::crash_suspect && log.crashed)
    {
        return rc::upstream_crashed;
    }
    return log.idempotent && log.passed_tokens > 0 ? rc::stream_incomplete : rc::outcome_unknown;
}

decision fail(attempt_log& log, rc code, bool cancel_attempt)
{
    // A caller of on_placement_failed may know of an earlier run that is not in this log.
    auto const may_have_run = log.attempt_may_have_run || log.earlier_may_have_run ||
                              log.claim_pending || code == rc::outcome_unknown;
    if (may_have_run && base::info(code).not_run)
    {
        code = code_after_run(log, code);
    }
    base::check_invariant(log.passed_tokens == 0 || may_have_run,
                          "tokens are forwarded only from an attempt that ran");
    base::check_invariant(!may_have_run || !base::info(code).not_run,
                          "a request that may have run does not fail as not run");
    log.phase = request_phase::done;
    return {decision_kind::fail, code, {}, cancel_attempt, !may_have_run};
}

decision retry(attempt_log& log, base::mono_time not_before, bool cancel_attempt,
               base::mono_time now, retry_context context)
{
    base::check_invariant(log.idempotent ||
                              (!log.attempt_may_have_run && !log.earlier_may_have_run),
                          "a non-idempotent request that may have run is not retried");
    auto const retry_at = backoff(log.retries, now, not_before, log.deadline, context.random);
    if (!retry_at)
    {
        return fail(log, rc::deadline_passed, cancel_attempt);
    }
    if (!take_retry(context.budget, now))
    {
        return fail(log, rc::retry_budget_spent, cancel_attempt);
    }
    ++log.retries;
    log.phase = request_phase::queued;
    return {decision_kind::retry, rc::ok, *retry_at, cancel_attempt, false};
}

/// Handles the failure of an attempt that may have run: only idempotent requests are retried.
decision retry_or_fail(attempt_log& log, rc code, bool cancel_attempt, base::mono_time now,
                       retry_context context)
{
    if (log.idempotent)
    {
        return retry(log, now, cancel_attempt, now, context);
    }
    return fail(log, code, cancel_attempt);
}

/// Whether any other upstream would refuse with the same code.
bool is_permanent(rc code)
{
    switch (code)
    {
    case rc::bad_request:
    case rc::request_too_large:
    case rc::unknown_route:
    case rc::key_missing:
    case rc::key_unknown:
    case rc::key_not_allowed:
    case rc::crash_suspect:
        return true;
    default:
        return false;
    }
}

} // namespace

attempt_log start_log(bool idempotent, bool stream, base::mono_time deadline)
{
    attempt_log log;
    log.idempotent = idempotent;
    log.stream = stream;
    log.deadline = deadline;
    return log;
}

void on_claim_started(attempt_log& log)
{
    base::check_invariant(log.phase == request_phase::queued && log.attempt == 0,
                          "a claim precedes the first attempt");
    log.claim_pending = true;
}

decision on_claim_decided(attempt_log& log, claim_outcome outcome)
{
    if (!log.claim_pending || log.phase == request_phase::done || outcome == claim_outcome::pending)
    {
        return {};
    }
    if (outcome != claim_outcome::run)
    {
        return fail(log, claim_result(outcome), false);
    }
    log.claim_pending = false;
    return {};
}

base::mono_time next_timeout(attempt_log const& log)
{
    return log.phase == request_phase::fencing ? std::min(log.fence_until, log.deadline)
                                               : log.deadline;
}

std::uint32_t on_sent(attempt_log& log, upstream_id upstream)
{
    base::check_invariant(log.phase == request_phase::queued, "at most one attempt is in flight");
    base::check_invariant(!log.claim_pending,
                          "an attempt is sent only after the claim has succeeded");
    log.earlier_may_have_run = log.earlier_may_have_run || log.attempt_may_have_run;
    base::check_invariant(log.idempotent || !log.earlier_may_have_run,
                          "a non-idempotent request runs at most once");
    log.attempt_may_have_run = true;
    log.attempt_ran = false;
    log.phase = request_phase::sent;
    log.tried.push_back(upstream);
    return ++log.attempt;
}

decision on_started(attempt_log& log, std::uint32_t attempt)
{
    if (match_attempt(log, attempt, true))
    {
        record_run(log);
    }
    return {};
}

decision on_chunk(attempt_log& log, std::uint32_t attempt, std::uint32_t first_token,
                  std::uint32_t tokens, base::mono_time now, retry_context context)
{
    if (!match_attempt(log, attempt, true) || !log.stream || tokens == 0)
    {
        return {};
    }
    record_run(log);
    if (std::uint64_t{first_token} + tokens <= log.passed_tokens)
    {
        return {};
    }
    if (first_token != log.passed_tokens)
    {
        // A gap, or a partial overlap, which can't be trimmed, since the bytes of single tokens are
        // unknown.
        return retry_or_fail(log, rc::stream_incomplete, true, now, context);
    }
    log.passed_tokens += tokens;
    return {decision_kind::forward};
}

decision on_finished(attempt_log& log, std::uint32_t attempt, std::uint32_t total_tokens,
                     base::mono_time now, retry_context context)
{
    if (!match_attempt(log, attempt, true))
    {
        return {};
    }
    if (!log.stream || log.passed_tokens == total_tokens)
    {
        log.phase = request_phase::done;
        return {decision_kind::complete};
    }
    if (log.passed_tokens > total_tokens)
    {
        // More tokens were forwarded than the answer contains; resuming can't correct that.
        return fail(log, rc::stream_incomplete, false);
    }
    return retry_or_fail(log, rc::stream_incomplete, false, now, context);
}

decision on_refused(attempt_log& log, std::uint32_t attempt, rc code, bool not_run,
                    base::mono_time retry_at, base::mono_time now, retry_context context)
{
    // A refusal is no evidence that an attempt ran, so a late one has no effect.
    if (!match_attempt(log, attempt, false))
    {
        return {};
    }
    if (code == rc::duplicate_attempt && !not_run)
    {
        // The agent already has the attempt; only a duplicate of the Start was refused.
        return {};
    }
    if (not_run && !log.attempt_ran)
    {
        log.attempt_may_have_run = false;
        return is_permanent(code) ? fail(log, code, false)
                                  : retry(log, retry_at, false, now, context);
    }
    log.crashed = log.crashed || code == rc::upstream_crashed;
    switch (code)
    {
    case rc::key_withdrawn:
    case rc::canceled:
        return fail(log, code, false);
    case rc::upstream_error:
    case rc::response_too_large:
        return retry_or_fail(log, code, false, now, context);
    default:
        return retry_or_fail(log, rc::outcome_unknown, false, now, context);
    }
}

decision on_connection_lost(attempt_log& log, base::mono_time now, retry_context context)
{
    switch (log.phase)
    {
    case request_phase::queued:
    case request_phase::done:
        return {};
    case request_phase::fencing:
        // The Fence or its answer may have been lost as well; it is sent again on the next
        // connection.
        return {decision_kind::fence, rc::ok, next_timeout(log)};
    case request_phase::sent:
        if (!log.idempotent)
        {
            log.phase = request_phase::fencing;
            log.fence_until = now + fence_timeout;
            return {decision_kind::fence, rc::ok, next_timeout(log)};
        }
        break;
    case request_phase::started:
        break;
    }
    return retry_or_fail(log, rc::outcome_unknown, false, now, context);
}

decision on_fenced(attempt_log& log, std::uint32_t attempt, bool started, base::mono_time now,
                   retry_context context)
{
    if (log.phase != request_phase::fencing || attempt != log.attempt)
    {
        return {};
    }
    if (started || log.attempt_ran)
    {
        return retry_or_fail(log, rc::outcome_unknown, true, now, context);
    }
    log.attempt_may_have_run = false;
    return retry(log, now, false, now, context);
}

decision on_timer(attempt_log& log, base::mono_time now)
{
    if (log.phase == request_phase::done || now < next_timeout(log))
    {
        return {};
    }
    if (!has_attempt_in_flight(log))
    {
        return fail(log, rc::deadline_passed, false);
    }
    if (!log.idempotent)
    {
        return fail(log, rc::outcome_unknown, true);
    }
    return fail(log, log.passed_tokens > 0 ? rc::stream_incomplete : rc::timeout, true);
}

decision on_placement_failed(attempt_log& log, rc code)
{
    base::check_invariant(log.phase == request_phase::queued || log.phase == request_phase::done,
                          "placement fails only for a queued request");
    return log.phase == request_phase::done ? decision{} : fail(log, code, false);
}

decision on_canceled(attempt_log& log)
{
    return log.phase == request_phase::done ? decision{}
                                            : fail(log, rc::canceled, has_attempt_in_flight(log));
}

decision on_answer_too_large(attempt_log& log)
{
    return log.phase == request_phase::done
               ? decision{}
               : fail(log, rc::response_too_large, has_attempt_in_flight(log));
}

decision on_key_withdrawn(attempt_log& log)
{
    return log.phase == request_phase::done
               ? decision{}
               : fail(log, rc::key_withdrawn, has_attempt_in_flight(log));
}

decision on_configuration_stale(attempt_log& log)
{
    return log.phase == request_phase::done
               ? decision{}
               : fail(log, rc::configuration_stale, has_attempt_in_flight(log));
}

} // namespace gooseberrywood::routing
