#include "gateway/sample_runs.hpp"

#include "base/log.hpp"
#include "gateway/measure.hpp"
#include "gateway/permits.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/reward_runner.hpp"
#include "gateway/sample_runner.hpp"
#include "http/status.hpp"
#include "platform/upstream_calls.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using rollout::sample_phase;

// Timeout for the first event, which includes the time in the upstream's queue.
constexpr base::duration first_event_timeout = std::chrono::milliseconds(1200);
// Timeout between two events. Even a slow upstream takes only 150 ms for an event, and resuming the
// sample on another upstream costs little.
constexpr base::duration event_timeout = std::chrono::milliseconds(700);

// Delays before a sample is dispatched again: the first one after a run that was aborted or failed,
// the second one after a run that the upstream refused or whose weights were too old.
constexpr base::duration abort_delay = std::chrono::milliseconds(50);
constexpr base::duration refusal_delay = std::chrono::milliseconds(20);

// Timeout for the rest of the answer after a refusal.
constexpr base::duration refusal_timeout = std::chrono::milliseconds(200);

// Longest useful duration of a run. The deadline sent with a run is at most this far ahead.
constexpr base::duration max_run_time = std::chrono::seconds(60);

void log_run(gateway& self, std::string_view event, sample_run const& run,
             run_context const& context, std::string_view reason, std::int64_t status)
{
    count_run(self, event);
    base::log_line(base::log_level::info, event,
                   {{"sample", context.spec->id},
                    {"job", run.job_id},
                    {"upstream", run.upstream},
                    {"software", run.origin.software_version},
                    {"reason", reason},
                    {"status", status},
                    {"weights", std::int64_t{run.version}},
                    {"events", static_cast<std::int64_t>(context.progress->events)},
                    {"took_us", (base::mono_now() - run.started_at).count()}});
}

/// Removes a run from the load that is recorded for its upstream.
void release_upstream(gateway& self, sample_run const& run)
{
    fleet::note_request_ended(self.pool, run.upstream);
    if (!run.answered)
    {
        fleet::note_sample_answered(self.pool, run.upstream);
    }
}

template <class Condition>
void cancel_runs_if(gateway& self, Condition const& condition)
{
    for (auto it = self.runs.begin(); it != self.runs.end();)
    {
        if (!condition(it->second))
        {
            ++it;
            continue;
        }
        release_upstream(self, it->second);
        it = self.runs.erase(it);
    }
}

/// Ends a run. Its sample returns to the waiting state and is not dispatched before the delay has
/// passed.
void end_run(gateway& self, std::uint64_t run_number, base::duration delay)
{
    auto const it = self.runs.find(run_number);
    auto const run = std::move(it->second);
    self.runs.erase(it);
    release_upstream(self, run);
    if (auto const context = context_of(self, run))
    {
        context->progress->phase = sample_phase::waiting;
        context->progress->not_before = base::mono_now() + delay;
    }
    schedule_sample_dispatch(self);
}

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

bool apply_event(gateway& self, sample_run& run, run_context const& context,
                 rollout::stream_event const& event, base::mono_time now)
{
    if (event.version)
    {
        run.version = *event.version;
        fleet::note_weights(self.pool, run.upstream, context.spec->model, run.version);
    }
    if (!rollout::append_event(*context.progress, event, run.version, run.origin))
    {
        return false;
    }
    if (run.last_event_at != base::mono_time{})
    {
        fleet::note_event_interval(self.pool, run.upstream, now - run.last_event_at, now);
    }
    run.last_event_at = now;
    run.silence_deadline = now + event_timeout;
    return true;
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
        if (!apply_event(self, run, *context, event, now))
        {
            abort_run(self, run_number, "the event ids are not consecutive");
            return;
        }
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

void on_complete(gateway& self, std::uint64_t run_number)
{
    auto const& run = self.runs.at(run_number);
    if (run.refused)
    {
        end_run(self, run_number, refusal_delay);
        return;
    }
    auto const context = context_of(self, run);
    if (!context || !run.is_streaming || context->progress->events == 0 ||
        !run.stream.buffer.empty())
    {
        abort_run(self, run_number, "the stream ended prematurely");
        return;
    }
    log_run(self, "run_complete", run, *context, "", http::status::ok);
    context->progress->complete = true;
    auto const index = run.index;
    auto& job = *context->job;
    end_run(self, run_number, {});
    score_sample(self, job, index);
}

http::call_handlers handlers_of(gateway& self, std::uint64_t run_number)
{
    return {[&self, run_number](std::uint16_t status, std::string_view)
            { on_head(self, run_number, status); },
            [&self, run_number](std::string_view bytes) { on_bytes(self, run_number, bytes); },
            [&self, run_number] { on_complete(self, run_number); },
            [&self, run_number](base::error const& cause, bool)
            {
                abort_run(self, run_number, cause.message);
            }};
}

} // namespace

std::optional<run_context> context_of(gateway& self, sample_run const& run)
{
    auto const it = self.jobs.find(run.job_id);
    if (it == self.jobs.end())
    {
        return std::nullopt;
    }
    return run_context{&it->second, &it->second.spec.samples[run.index],
                       &it->second.samples[run.index]};
}

void start_run(gateway& self, owned_job& job, std::size_t index,
               fleet::chosen_upstream const& chosen, base::mono_time now)
{
    auto const run_number = ++self.last_number;
    auto const& spec = job.spec.samples[index];
    auto& progress = job.samples[index];
    progress.phase = sample_phase::running;
    progress.avoided_upstream.clear();
    job.upstream_by_group[spec.group] = chosen.id;
    fleet::note_sample_sent(self.pool, chosen.id, now);
    auto& run = self.runs[run_number];
    run.job_id = job.record.id;
    run.index = index;
    run.upstream = chosen.id;
    run.origin = {chosen.service, chosen.software_version};
    run.expected_version = chosen.expected_version;
    run.started_at = now;
    run.silence_deadline = now + first_event_timeout;
    if (progress.origin && *progress.origin != run.origin)
    {
        rollout::discard_text(progress);
    }
    platform::upstream_target const target{
        chosen.id,       chosen.address, job.record.host,
        job.record.team, spec.id,        std::min(job.give_up_at, now + max_run_time)};
    platform::sample_resumption const resumption{progress.last_event_id, chosen.expected_version};
    run.call = http::start_call(self.upstream_session.get(),
                                platform::encode_sample(target, spec, resumption, now),
                                handlers_of(self, run_number));
}

void abort_run(gateway& self, std::uint64_t run_number, std::string_view reason)
{
    auto const& run = self.runs.at(run_number);
    if (run.refused)
    {
        end_run(self, run_number, refusal_delay);
        return;
    }
    if (auto const context = context_of(self, run))
    {
        log_run(self, "run_broken", run, *context, reason, 0);
        context->progress->avoided_upstream = run.upstream;
    }
    fleet::note_failure(self.pool, run.upstream, base::mono_now());
    end_run(self, run_number, abort_delay);
}

void move_run(gateway& self, std::uint64_t run_number)
{
    auto const& run = self.runs.at(run_number);
    auto const context = *context_of(self, run);
    log_run(self, "run_moved", run, context, "the upstream is slow", 0);
    context.progress->avoided_upstream = run.upstream;
    end_run(self, run_number, {});
}

void abort_runs_on_replaced_upstreams(gateway& self)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [run_number, run] : self.runs)
    {
        auto const* const upstream = fleet::find_upstream(self.pool, run.upstream);
        if (upstream != nullptr && upstream->record.software_version != run.origin.software_version)
        {
            affected.push_back(run_number);
        }
    }
    for (auto const run_number : affected)
    {
        if (auto const context = context_of(self, self.runs.at(run_number)))
        {
            rollout::discard_text(*context->progress);
        }
        abort_run(self, run_number, "the upstream has another software version now");
    }
}

void cancel_run(gateway& self, std::string const& job_id, std::size_t index)
{
    cancel_runs_if(self, [&](sample_run const& run)
                   { return run.job_id == job_id && run.index == index; });
}

void cancel_runs(gateway& self, std::string const& job_id)
{
    cancel_runs_if(self, [&](sample_run const& run) { return run.job_id == job_id; });
}

} // namespace gooseberrywood::gateway
