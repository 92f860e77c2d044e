#include "gateway/sample_run_answers.hpp"

#include "base/log.hpp"
#include "gateway/departures.hpp"
#include "gateway/job_work.hpp"
#include "gateway/permits.hpp"
#include "gateway/refresh.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/reward_runner.hpp"
#include "gateway/sample_runs.hpp"
#include "gateway/text_limits.hpp"
#include "gateway/unsent_requests.hpp"
#include "http/response_watch.hpp"
#include "http/status.hpp"
#include "platform/upstream_calls.hpp"

#include <fmt/format.h>

#include <string_view>

namespace gooseberrywood::gateway
{

namespace
{

// Timeout between two events. Even a slow upstream takes only 150 ms for an event, and resuming the
// sample on another upstream costs little.
constexpr base::duration event_timeout = std::chrono::milliseconds(700);

// Timeout for the rest of the answer after a refusal.
constexpr base::duration refusal_timeout = std::chrono::milliseconds(200);

/// Ends a run and finishes its sample without a result.
void give_up_sample(gateway& self, std::uint64_t run_number, std::string_view reason)
{
    auto const& run = self.runs.at(run_number);
    auto const context = *context_of(self, run);
    log_run(self, "sample_given_up", run, context, reason, 0);
    auto const index = run.index;
    auto& job = *context.job;
    end_run(self, run_number, {});
    finish_sample(self, job, index, false);
}

void count_failed_run(gateway& self, std::uint64_t run_number)
{
    auto const& run = self.runs.at(run_number);
    auto const context = *context_of(self, run);
    auto const* const route = route_of(self, context.job->record);
    log_run(self, "run_failed", run, context, "the upstream answered 500",
            http::status::internal_error);
    ++context.progress->failed_runs;
    if (route != nullptr && context.progress->failed_runs >= route->attempts)
    {
        give_up_sample(self, run_number, "too many failed runs");
        return;
    }
    end_run(self, run_number, abort_delay);
}

/// Marks a run as refused. The run ends once the rest of the answer was received or timed out.
void on_refused(gateway& self, std::uint64_t run_number, std::uint16_t status)
{
    auto& run = self.runs.at(run_number);
    auto const now = base::mono_now();
    run.refused = true;
    run.silence_deadline = now + refusal_timeout;
    log_run(self, "run_refused", run, *context_of(self, run),
            "the upstream refused to run the sample", status);
    if (status == http::status::misdirected && run.expected_version != 0)
    {
        fleet::note_weights_missing(self.pool, run.upstream, now);
    }
    else
    {
        fleet::note_sample_refused(self.pool, run.upstream, now);
    }
}

void on_head(gateway& self, std::uint64_t run_number, std::uint16_t status)
{
    auto& run = self.runs.at(run_number);
    run.answered = true;
    fleet::note_sample_answered(self.pool, run.upstream);
    auto const context = context_of(self, run);
    auto const head =
        platform::decode_response_head(status, http::response_headers(run.call->message.get()));
    if (!context || (head.request_id && *head.request_id != context->spec->id))
    {
        abort_run(self, run_number, "the answer belongs to another request");
        return;
    }
    record_departure(self, run.incarnation, head, context->spec->id);
    if (head.request_id)
    {
        record_rate_limit(self, run.upstream, head, status, run.started_at);
    }
    if (head.not_run || status == http::status::misdirected)
    {
        on_refused(self, run_number, status);
        return;
    }
    if (status == http::status::unprocessable)
    {
        give_up_sample(self, run_number, "the upstream can't process this sample");
        return;
    }
    if (status == http::status::internal_error)
    {
        count_failed_run(self, run_number);
        return;
    }
    if (status != http::status::ok || !head.weight_version)
    {
        abort_run(self, run_number,
                  fmt::format("expected status {} with a weights version, received status {} {}",
                              http::status::ok, status,
                              head.weight_version ? "with one" : "without one"));
        return;
    }
    fleet::note_weights(self.pool, run.upstream, context->spec->model, *head.weight_version);
    fleet::note_sample_started(self.pool, run.upstream);
    run.version = *head.weight_version;
    run.is_streaming = true;
    if (run.version < context->job->spec.least_version)
    {
        log_run(self, "run_too_old", run, *context, "the weights are older than the job accepts",
                status);
        if (auto* const upstream = fleet::find_upstream(self.pool, run.upstream))
        {
            upstream->record.weights[context->spec->model] = run.version;
        }
        end_run(self, run_number, refusal_delay);
    }
}

/// Appends an event to the text of its sample.
/// \returns why it can't be appended, or nullptr.
char const* apply_event(gateway& self, sample_run& run, run_context const& context,
                        rollout::stream_event const& event, base::mono_time now)
{
    if (!count_text_bytes(self, run, context, event.data.size() + 1))
    {
        rollout::discard_text(*context.progress);
        return "the text exceeds the size limit";
    }
    if (event.version)
    {
        run.version = *event.version;
        fleet::note_weights(self.pool, run.upstream, context.spec->model, run.version);
    }
    if (!rollout::append_event(*context.progress, event, run.version, run.origin))
    {
        return "the event ids are missing or not consecutive";
    }
    fleet::note_event(self.pool, run.upstream, run.work);
    if (run.last_event_at != base::mono_time{})
    {
        fleet::note_event_interval(self.pool, run.upstream, now - run.last_event_at, now);
    }
    run.last_event_at = now;
    run.silence_deadline = now + event_timeout;
    return nullptr;
}

bool satisfies_single_version(gateway const& self, run_context const& context)
{
    auto const* const route = route_of(self, context.job->record);
    return route == nullptr || !route->single_version || context.progress->versions.size() <= 1;
}

void on_bytes(gateway& self, std::uint64_t run_number, std::string_view bytes)
{
    auto& run = self.runs.at(run_number);
    auto const context = context_of(self, run);
    if (!run.is_streaming || !context)
    {
        return;
    }
    auto const now = base::mono_now();
    for (auto const& event : platform::feed(run.stream, bytes))
    {
        if (auto const* const reason = apply_event(self, run, *context, event, now))
        {
            abort_run(self, run_number, reason);
            return;
        }
    }
    if (run.stream.is_malformed)
    {
        abort_run(self, run_number, "the stream holds something that is no event");
        return;
    }
    if (platform::is_event_too_large(run.stream))
    {
        abort_run(self, run_number, "an event exceeds the size limit");
        return;
    }
    if (!satisfies_single_version(self, *context))
    {
        rollout::discard_text(*context->progress);
        abort_run(self, run_number, "the weights version changed within the sample");
    }
}

/// Whether a run that was to continue a text ended without an event, and nothing but the close of
/// its connection tells that the text is whole. An upstream that crashes may close it so, too.
bool ended_without_proof(sample_run const& run, run_context const& context)
{
    return run.is_streaming && context.progress->events > 0 &&
           run.last_event_at == base::mono_time{} &&
           http::ends_with_connection(run.call->message.get());
}

void on_complete(gateway& self, std::uint64_t run_number)
{
    auto const& run = self.runs.at(run_number);
    if (run.refused)
    {
        end_run(self, run_number, refusal_delay);
        return;
    }
    auto const context = context_of(self, run);
    if (context && ended_without_proof(run, *context))
    {
        rollout::discard_text(*context->progress);
        abort_run(self, run_number, "the stream ended without an event and without a length");
        return;
    }
    if (!context || !run.is_streaming || context->progress->events == 0 ||
        !run.stream.buffer.empty())
    {
        abort_run(self, run_number, "the stream ended prematurely");
        return;
    }
    log_run(self, "run_complete", run, *context, "", http::status::ok);
    context->progress->complete = true;
    retain_text(*context->progress);
    auto const index = run.index;
    auto& job = *context->job;
    end_run(self, run_number, {});
    score_sample(self, job, index);
}

bool may_send_run(gateway& self, std::uint64_t run_number)
{
    auto& run = self.runs.at(run_number);
    auto const now = base::mono_now();
    auto const context = context_of(self, run);
    bool const continues_text = context && context->progress->origin;
    run.withdrawn = !may_still_send(self, run.incarnation, run.origin.service) ||
                    !may_send_job_work(self, now) ||
                    (continues_text && !has_current_upstreams(self, now));
    return !run.withdrawn;
}

/// Discards the text of a run that went on without end: its last events can't belong to it.
void discard_run_text(gateway& self, std::uint64_t run_number)
{
    if (auto const context = context_of(self, self.runs.at(run_number)))
    {
        rollout::discard_text(*context->progress);
    }
}

void on_failed(gateway& self, std::uint64_t run_number, base::error const& cause)
{
    if (self.runs.at(run_number).withdrawn)
    {
        withdraw_run(self, run_number);
        return;
    }
    if (cause.code == base::result_code::response_too_large)
    {
        discard_run_text(self, run_number);
    }
    abort_run(self, run_number, cause.message);
}

} // namespace

http::call_handlers make_run_handlers(gateway& self, std::uint64_t run_number)
{
    http::call_handlers handlers{[&self, run_number](std::uint16_t status, std::string_view)
                                 { on_head(self, run_number, status); },
                                 [&self, run_number](std::string_view bytes)
                                 { on_bytes(self, run_number, bytes); },
                                 [&self, run_number] { on_complete(self, run_number); },
                                 [&self, run_number](base::error const& cause, bool)
                                 {
                                     on_failed(self, run_number, cause);
                                 }};
    handlers.may_send = [&self, run_number]
    {
        return may_send_run(self, run_number);
    };
    return handlers;
}

} // namespace gooseberrywood::gateway
