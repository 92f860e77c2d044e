#include "gateway/sample_runner.hpp"

#include "fleet/choose_upstream.hpp"
#include "gateway/job_work.hpp"
#include "gateway/permits.hpp"
#include "gateway/refresh.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/sample_plan.hpp"
#include "gateway/sample_runs.hpp"
#include "process/main_loop.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using rollout::sample_phase;

constexpr base::duration check_interval = std::chrono::milliseconds(100);
// With at least this many runs, events that arrive within the interval are handled in one round of
// the main loop. The interval is far below the time between two events of a run.
constexpr std::size_t min_runs_to_gather = 24;
constexpr base::duration gather_interval = std::chrono::milliseconds(3);
// Timers fire slightly late even on an idle host; such delays are ignored.
constexpr base::duration min_loop_delay = std::chrono::milliseconds(30);
// Limits the samples that are moved off slow upstreams in one check, so that they don't overload
// the others.
constexpr int max_moves_per_check = 2;
// A text waits this long for an upstream of the software version that began it. To start again
// costs the time that the text has taken, mostly less than two seconds.
constexpr base::duration max_origin_wait = std::chrono::milliseconds(1000);
// A sample with fewer expected events left is not moved: at half the speed they take about 0.2 s
// longer, which is little more than a move costs.
constexpr double min_events_to_move = 4;

/// Requirements of a sample that decide which upstreams can run it.
struct sample_kind
{
    std::string service;
    std::string model;
    std::uint32_t least_version = 0;
    /// Empty for any.
    std::string software_version;

    friend auto operator<=>(sample_kind const&, sample_kind const&) = default;
};

/// Chooses an upstream for a waiting sample.
/// \param software_version version that must run it; empty for any.
/// \param unplaceable kinds of samples that no upstream can take at present.
std::optional<fleet::chosen_upstream> choose_for(gateway& self, owned_job const& job,
                                                 std::size_t index, std::string const& service,
                                                 std::string const& software_version,
                                                 std::set<sample_kind>& unplaceable,
                                                 base::mono_time now)
{
    auto const& spec = job.spec.samples[index];
    auto const& progress = job.samples[index];
    sample_kind const kind{service, spec.model, job.spec.least_version, software_version};
    if (unplaceable.contains(kind))
    {
        return std::nullopt;
    }
    fleet::sample_requirements need;
    need.service = service;
    need.model = spec.model;
    need.least_version = job.spec.least_version;
    need.software_version = software_version;
    need.avoided = progress.avoided_upstream;
    auto const group = job.upstream_by_group.find(spec.group);
    if (group != job.upstream_by_group.end())
    {
        need.preferred = group->second;
    }
    auto chosen = fleet::choose_sample(self.pool, *self.configuration, need, now);
    if (!chosen)
    {
        unplaceable.insert(kind);
    }
    return chosen;
}

/// Whether the text of a sample should wait for an upstream that may continue it.
bool may_wait_for_origin(gateway const& self, rollout::sample_progress const& progress,
                         std::string const& service, base::mono_time now)
{
    return progress.origin->service == service && now < progress.not_before + max_origin_wait &&
           fleet::has_software_version(self.pool, service, progress.origin->software_version);
}

/// Starts a run of a waiting sample if an upstream can take it at present. The text of the sample,
/// if it has one, is continued by the software version that began it. When no such upstream takes
/// the sample, but another one does, the text is discarded and the sample starts again.
void dispatch_sample(gateway& self, owned_job& job, std::size_t index,
                     std::set<sample_kind>& unplaceable, base::mono_time now)
{
    auto& progress = job.samples[index];
    if (progress.origin && !has_current_upstreams(self, now))
    {
        return;
    }
    auto const& spec = job.spec.samples[index];
    auto const& service = fleet::service_for_request(*route_of(self, job.record), spec.id);
    auto const version = progress.origin ? progress.origin->software_version : std::string();
    auto chosen = choose_for(self, job, index, service, version, unplaceable, now);
    if (!chosen && progress.origin && !may_wait_for_origin(self, progress, service, now))
    {
        chosen = choose_for(self, job, index, service, "", unplaceable, now);
    }
    if (chosen)
    {
        start_run(self, job, index, *chosen, now);
    }
}

void dispatch_waiting_samples(gateway& self)
{
    if (!self.configuration || !may_send_job_work(self, base::mono_now()))
    {
        return;
    }
    auto const now = base::mono_now();
    auto const plan = plan_samples(self, now);
    std::set<sample_kind> unplaceable;
    for (auto const& sample : plan)
    {
        dispatch_sample(self, *sample.job, sample.index, unplaceable, now);
    }
    count_waiting_by_rank(self, plan);
    request_wanted_permits(self);
}

void abort_silent_runs(gateway& self, base::mono_time now)
{
    std::vector<std::uint64_t> silent_runs;
    for (auto const& [run_number, run] : self.runs)
    {
        if (now >= run.silence_deadline)
        {
            silent_runs.push_back(run_number);
        }
    }
    for (auto const run_number : silent_runs)
    {
        abort_run(self, run_number, "no event in time");
    }
}

void move_slow_runs(gateway& self, base::mono_time now)
{
    std::vector<std::uint64_t> slow_runs;
    for (auto const& [run_number, run] : self.runs)
    {
        auto const context = context_of(self, run);
        if (!context || !run.is_streaming ||
            static_cast<int>(slow_runs.size()) >= max_moves_per_check ||
            expected_events_left(self, *context->job, run.index) < min_events_to_move)
        {
            continue;
        }
        auto const* const upstream = fleet::find_upstream(self.pool, run.upstream);
        auto const service = upstream != nullptr ? upstream->record.service : std::string();
        fleet::sample_requirements need;
        need.service = service;
        need.model = context->spec->model;
        need.least_version = context->job->spec.least_version;
        need.software_version = run.origin.software_version;
        need.avoided = run.upstream;
        if (fleet::should_move_sample(self.pool, *self.configuration, run.upstream, need, now))
        {
            slow_runs.push_back(run_number);
        }
    }
    for (auto const run_number : slow_runs)
    {
        move_run(self, run_number);
    }
}

void give_up_expired_jobs(gateway& self, base::mono_time now)
{
    if (!self.configuration)
    {
        return;
    }
    for (auto& [id, job] : self.jobs)
    {
        if (now < job.give_up_at)
        {
            continue;
        }
        withdraw_job_work(self, id);
        for (std::size_t i = 0; i < job.samples.size(); ++i)
        {
            if (job.samples[i].phase < sample_phase::finished)
            {
                finish_sample(self, job, i, false);
            }
        }
    }
}

/// Extends the deadlines of runs by the delay of this process's main loop. Events that arrive
/// during the delay are still unread, so it must not count as silence of the upstreams.
void extend_silence_deadlines(gateway& self, base::mono_time now)
{
    auto const delay = now - self.sample_check_due;
    if (self.sample_check_due != base::mono_time{} && delay > min_loop_delay)
    {
        for (auto& [run_number, run] : self.runs)
        {
            run.silence_deadline += delay;
        }
    }
    self.sample_check_due = now + check_interval;
}

void check_samples(gateway& self)
{
    auto const now = base::mono_now();
    process::set_poll_delay(self.runs.size() >= min_runs_to_gather ? gather_interval
                                                                   : base::duration{});
    extend_silence_deadlines(self, now);
    fleet::discard_stale_means(self.pool, now);
    abort_silent_runs(self, now);
    if (self.configuration)
    {
        move_slow_runs(self, now);
    }
    give_up_expired_jobs(self, now);
    update_foreign_work(self);
    write_pending_results(self);
    dispatch_waiting_samples(self);
}

} // namespace

void start_sample_checks(gateway& self)
{
    self.sample_timer = base::every(check_interval, [&self] { check_samples(self); });
}

void schedule_sample_dispatch(gateway& self)
{
    if (!self.dispatch_soon)
    {
        self.dispatch_soon = base::soon(
            [&self]
            {
                self.dispatch_soon.reset();
                dispatch_waiting_samples(self);
            });
    }
}

} // namespace gooseberrywood::gateway
