#include "gateway/sample_runs.hpp"

#include "base/log.hpp"
#include "fleet/cost_estimate.hpp"
#include "gateway/measure.hpp"
#include "gateway/sample_run_answers.hpp"
#include "gateway/sample_runner.hpp"
#include "platform/upstream_calls.hpp"

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

// Longest useful duration of a run. The deadline sent with a run is at most this far ahead.
constexpr base::duration max_run_time = std::chrono::seconds(60);

/// Removes a run from the load that is recorded for its upstream.
void release_upstream(gateway& self, sample_run const& run)
{
    fleet::note_request_ended(self.pool, run.upstream, run.work);
    if (!run.answered)
    {
        fleet::note_sample_answered(self.pool, run.upstream);
    }
}

/// Discards the text of a sample unless the upstream of the new run may continue it.
void discard_foreign_text(rollout::sample_progress& progress, sample_run const& run,
                          std::string const& sample)
{
    if (!progress.origin || *progress.origin == run.origin)
    {
        return;
    }
    base::log_line(base::log_level::info, "text_discarded",
                   {{"sample", sample},
                    {"job", run.job_id},
                    {"software", progress.origin->software_version},
                    {"events", static_cast<std::int64_t>(progress.events)},
                    {"reason", "no upstream of the software version that began it is free"}});
    rollout::discard_text(progress);
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

std::uint32_t tokens_per_event(gateway const& self, std::string_view service)
{
    auto const* const found =
        self.configuration ? fleet::find_service(*self.configuration, service) : nullptr;
    return found != nullptr ? found->tokens_per_event : fleet::service{}.tokens_per_event;
}

double events_left(gateway const& self, std::string_view service, rollout::sample_spec const& spec,
                   rollout::sample_progress const& progress)
{
    return fleet::expected_events_left(spec.expected_tokens, tokens_per_event(self, service),
                                       progress.events);
}

sample_run& start_run(gateway& self, owned_job& job, std::size_t index,
                      fleet::chosen_upstream const& chosen, base::mono_time now)
{
    auto const run_number = ++self.last_number;
    auto const& spec = job.spec.samples[index];
    auto& progress = job.samples[index];
    progress.phase = sample_phase::running;
    progress.avoided_upstream.clear();
    job.upstream_by_group[spec.group] = chosen.id;
    auto& run = self.runs[run_number];
    run.job_id = job.record.id;
    run.index = index;
    run.upstream = chosen.id;
    run.incarnation = fleet::incarnation_of(chosen);
    run.origin = {chosen.service, chosen.software_version};
    run.expected_version = chosen.expected_version;
    run.started_at = now;
    run.silence_deadline = now + first_event_timeout;
    discard_foreign_text(progress, run, spec.id);
    run.work.left = events_left(self, chosen.service, spec, progress);
    fleet::note_sample_sent(self.pool, chosen.id, now, run.work);
    platform::upstream_target const target{
        chosen.id,       chosen.address, job.record.host,
        job.record.team, spec.id,        std::min(job.give_up_at, now + max_run_time)};
    platform::sample_resumption const resumption{progress.last_event_id, chosen.expected_version};
    run.call = http::start_call(self.upstream_session.get(),
                                platform::encode_sample(target, spec, resumption, now),
                                make_run_handlers(self, run_number));
    return run;
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

void move_run(gateway& self, std::uint64_t run_number, fleet::sample_move const& move,
              base::mono_time now)
{
    auto const& run = self.runs.at(run_number);
    auto const context = *context_of(self, run);
    log_run(self, "run_moved", run, context,
            move.leaves_slow_upstream ? "the upstream is slow" : "a faster upstream is free", 0);
    auto const index = run.index;
    end_run(self, run_number, {});
    start_run(self, *context.job, index, move.target, now).stays_until =
        now + fleet::min_stay_after_move;
}

void withdraw_run(gateway& self, std::uint64_t run_number)
{
    auto const& run = self.runs.at(run_number);
    if (auto const context = context_of(self, run))
    {
        log_run(self, "run_withdrawn", run, *context,
                "the upstream left before the sample was sent", 0);
    }
    end_run(self, run_number, {});
}

void withdraw_unsent_runs(gateway& self)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [run_number, run] : self.runs)
    {
        if (run.call && !run.call->sent &&
            !fleet::is_serving(self.pool, run.incarnation, run.origin.service))
        {
            affected.push_back(run_number);
        }
    }
    for (auto const run_number : affected)
    {
        withdraw_run(self, run_number);
    }
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
