#include "gateway/sample_runner.hpp"

#include "fleet/choose_upstream.hpp"
#include "gateway/refresh.hpp"
#include "gateway/result_writer.hpp"
#include "gateway/sample_runs.hpp"
#include "process/main_loop.hpp"
#include "rollout/waiting_sample.hpp"

#include <set>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

using rollout::sample_phase;

constexpr base::duration check_interval = std::chrono::milliseconds(100);
// Events of this many runs are gathered before they are read, far below the time between two events
// of a run.
constexpr std::size_t many_runs = 24;
constexpr base::duration gather_pause = std::chrono::milliseconds(3);
// Timers fire a little late on an idle host too.
constexpr base::duration least_lateness = std::chrono::milliseconds(30);
// Samples that leave slow upstreams in one check, so that they don't fill the others at once.
constexpr int most_moves = 2;
// A sample that is nearly complete stays.
constexpr std::uint32_t least_tokens_to_move = 200;

std::uint32_t tokens_left(rollout::sample_spec const& spec,
                          rollout::sample_progress const& progress)
{
    // Events carry several tokens each; the text so far tells little about how many.
    constexpr std::size_t tokens_per_event = 32;
    auto const made = progress.events * tokens_per_event;
    return spec.expected_tokens > made ? static_cast<std::uint32_t>(spec.expected_tokens - made)
                                       : 0;
}

void collect_waiting(gateway const& self, owned_job const& job, base::mono_time now,
                     std::vector<rollout::waiting_sample>& into)
{
    auto const* const route = route_of(self, job.record);
    if (route == nullptr)
    {
        return;
    }
    for (std::size_t i = 0; i < job.samples.size(); ++i)
    {
        auto const& progress = job.samples[i];
        if (progress.phase == sample_phase::waiting && now >= progress.not_before)
        {
            into.push_back({job.record.id, i, job.due, tokens_left(job.spec.samples[i], progress),
                            route->priority});
        }
    }
}

struct need_key
{
    std::string service;
    std::string model;
    std::uint32_t least_version = 0;

    friend auto operator<=>(need_key const&, need_key const&) = default;
};

/// \returns false when no upstream takes a sample of this kind now.
bool dispatch_one(gateway& self, rollout::waiting_sample const& waiting,
                  std::set<need_key>& hopeless, base::mono_time now)
{
    auto& job = self.jobs.at(waiting.job_id);
    auto const& spec = job.spec.samples[waiting.index];
    auto const* const route = route_of(self, job.record);
    auto const& service = fleet::service_of(*route, spec.id);
    need_key const key{service, spec.model, job.spec.least_version};
    if (hopeless.contains(key))
    {
        return false;
    }
    auto const& progress = job.samples[waiting.index];
    auto const group = job.upstream_by_group.find(spec.group);
    fleet::sample_need need{service, spec.model, job.spec.least_version, "",
                            progress.avoided_upstream};
    if (group != job.upstream_by_group.end())
    {
        need.preferred = group->second;
    }
    auto const chosen = fleet::choose_sample(self.pool, *self.configuration, need, now);
    if (!chosen)
    {
        hopeless.insert(key);
        return false;
    }
    start_run(self, job, waiting.index, *chosen, now);
    return true;
}

void dispatch_now(gateway& self)
{
    if (!self.configuration || self.stopping || !knows_ended_jobs(self, base::mono_now()))
    {
        return;
    }
    constexpr double usual_us_per_token = 900;
    auto const now = base::mono_now();
    std::vector<rollout::waiting_sample> waiting;
    for (auto const& [id, job] : self.jobs)
    {
        collect_waiting(self, job, now, waiting);
    }
    rollout::sort_by_turn(waiting, now, usual_us_per_token);
    std::set<need_key> hopeless;
    for (auto const& one : waiting)
    {
        (void)dispatch_one(self, one, hopeless, now);
    }
}

void break_silent_runs(gateway& self, base::mono_time now)
{
    std::vector<std::uint64_t> silent;
    for (auto const& [number, run] : self.runs)
    {
        if (now >= run.silent_at)
        {
            silent.push_back(number);
        }
    }
    for (auto const number : silent)
    {
        break_run(self, number, "no event in time");
    }
}

void leave_slow_upstreams(gateway& self, base::mono_time now)
{
    std::vector<std::uint64_t> leaving;
    for (auto const& [number, run] : self.runs)
    {
        auto const place = place_of(self, run);
        if (!place || !run.streams || static_cast<int>(leaving.size()) >= most_moves ||
            tokens_left(*place->spec, *place->progress) < least_tokens_to_move)
        {
            continue;
        }
        auto const* const upstream = fleet::find_upstream(self.pool, run.upstream);
        auto const service = upstream != nullptr ? upstream->record.service : std::string();
        fleet::sample_need const need{service, place->spec->model, place->job->spec.least_version,
                                      "", run.upstream};
        if (fleet::should_leave(self.pool, *self.configuration, run.upstream, need, now))
        {
            leaving.push_back(number);
        }
    }
    for (auto const number : leaving)
    {
        leave_upstream(self, number);
    }
}

void give_up_expired(gateway& self, base::mono_time now)
{
    for (auto& [id, job] : self.jobs)
    {
        if (now < job.give_up_at)
        {
            continue;
        }
        cancel_runs(self, id);
        for (std::size_t i = 0; i < job.samples.size(); ++i)
        {
            if (job.samples[i].phase < sample_phase::finished)
            {
                finish_sample(self, job, i, false);
            }
        }
    }
}

/// While this process is late, events of its runs wait to be read. That time is not an upstream's
/// silence.
void excuse_own_lateness(gateway& self, base::mono_time now)
{
    auto const late = now - self.sample_check_due;
    if (self.sample_check_due != base::mono_time{} && late > least_lateness)
    {
        for (auto& [number, run] : self.runs)
        {
            run.silent_at += late;
        }
    }
    self.sample_check_due = now + check_interval;
}

void check(gateway& self)
{
    auto const now = base::mono_now();
    process::gather_events(self.runs.size() >= many_runs ? gather_pause : base::duration{});
    excuse_own_lateness(self, now);
    fleet::forget_old_speeds(self.pool, now);
    break_silent_runs(self, now);
    if (self.configuration)
    {
        leave_slow_upstreams(self, now);
    }
    give_up_expired(self, now);
    write_pending_results(self);
    dispatch_now(self);
}

} // namespace

void start_sample_checks(gateway& self)
{
    self.sample_timer = base::every(check_interval, [&self] { check(self); });
}

void dispatch_samples(gateway& self)
{
    if (!self.dispatch_soon)
    {
        self.dispatch_soon = base::soon(
            [&self]
            {
                self.dispatch_soon.reset();
                dispatch_now(self);
            });
    }
}

} // namespace gooseberrywood::gateway
