#include "gateway/sample_runner.hpp"

#include "fleet/choose_upstream.hpp"
#include "fleet/cost_estimate.hpp"
#include "gateway/job_work.hpp"
#include "gateway/move_runs.hpp"
#include "gateway/permits.hpp"
#include "gateway/refresh.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/sample_plan.hpp"
#include "gateway/sample_runs.hpp"
#include "process/main_loop.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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
// A text waits this long for an upstream of the software version that began it. To start again
// costs the time that the text has taken, mostly less than two seconds.
constexpr base::duration max_origin_wait = std::chrono::milliseconds(1000);
// A waiting sample is much longer than another one if it is expected to produce this many times as
// many events.
constexpr double much_longer = 2;

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

/// Waiting samples in the order in which they are dispatched.
struct dispatch_round
{
    std::vector<planned_sample> waiting;
    /// Number of events that each of them is expected to produce yet.
    std::vector<double> events_left;
    /// Kinds of samples that no upstream can take at present.
    std::set<sample_kind> unplaceable;
    base::mono_time now{};
};

rollout::sample_spec const& spec_of(planned_sample const& waiting)
{
    return waiting.job->spec.samples[waiting.index];
}

/// Number of samples of the same model that are dispatched after one and are much longer.
std::uint32_t count_longer(dispatch_round const& round, std::size_t position)
{
    auto const& model = spec_of(round.waiting[position]).model;
    std::uint32_t count = 0;
    for (auto i = position + 1; i < round.waiting.size(); ++i)
    {
        if (round.events_left[i] >= much_longer * round.events_left[position] &&
            spec_of(round.waiting[i]).model == model)
        {
            ++count;
        }
    }
    return count;
}

/// Chooses an upstream for a waiting sample.
/// \param software_version version that must run it; empty for any.
std::optional<fleet::chosen_upstream> choose_for(gateway& self, dispatch_round& round,
                                                 std::size_t position, std::string const& service,
                                                 std::string const& software_version)
{
    auto const& waiting = round.waiting[position];
    auto const& job = *waiting.job;
    auto const& spec = spec_of(waiting);
    sample_kind kind{service, spec.model, job.spec.least_version, software_version};
    if (round.unplaceable.contains(kind))
    {
        return std::nullopt;
    }
    fleet::sample_requirements need;
    need.service = service;
    need.model = spec.model;
    need.least_version = job.spec.least_version;
    need.software_version = software_version;
    need.avoided = job.samples[waiting.index].avoided_upstream;
    need.events_left = round.events_left[position];
    need.longer_waiting = count_longer(round, position);
    need.request_id = spec.id;
    auto const group = job.upstream_by_group.find(spec.group);
    if (group != job.upstream_by_group.end())
    {
        need.preferred = group->second;
    }
    auto chosen = fleet::choose_sample(self.pool, *self.configuration, need, round.now);
    if (!chosen)
    {
        round.unplaceable.insert(std::move(kind));
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
void dispatch_sample(gateway& self, dispatch_round& round, std::size_t position)
{
    auto const& waiting = round.waiting[position];
    auto& job = *waiting.job;
    auto& progress = job.samples[waiting.index];
    if (progress.origin && !has_current_upstreams(self, round.now))
    {
        return;
    }
    auto const& spec = job.spec.samples[waiting.index];
    auto const& service = fleet::service_for_request(*route_of(self, job.record), spec.id);
    auto const version = progress.origin ? progress.origin->software_version : std::string();
    auto chosen = choose_for(self, round, position, service, version);
    if (!chosen && progress.origin && !may_wait_for_origin(self, progress, service, round.now))
    {
        chosen = choose_for(self, round, position, service, "");
    }
    if (chosen)
    {
        start_run(self, job, waiting.index, *chosen, round.now);
    }
}

void dispatch_waiting_samples(gateway& self)
{
    auto const now = base::mono_now();
    if (!self.configuration || !may_send_job_work(self, now))
    {
        return;
    }
    move_runs(self, now);
    dispatch_round round;
    round.now = now;
    round.waiting = plan_samples(self, now);
    round.events_left.reserve(round.waiting.size());
    for (auto const& waiting : round.waiting)
    {
        round.events_left.push_back(expected_events_left(self, *waiting.job, waiting.index));
    }
    for (std::size_t position = 0; position < round.waiting.size(); ++position)
    {
        dispatch_sample(self, round, position);
    }
    count_waiting_by_rank(self, round.waiting);
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
