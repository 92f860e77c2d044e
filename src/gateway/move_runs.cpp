#include "gateway/move_runs.hpp"

#include "fleet/choose_move.hpp"
#include "gateway/refresh.hpp"
#include "gateway/sample_plan.hpp"
#include "gateway/sample_runs.hpp"

#include <algorithm>
#include <vector>

namespace gooseberrywood::gateway
{

namespace
{

// Long enough that the check of some hundred runs takes little time, and about an event's time.
constexpr base::duration move_check_interval = std::chrono::milliseconds(50);

// Limits the samples that are moved in one check, so that they don't overload the other upstreams.
constexpr std::size_t max_moves_per_check = 2;

// Limits the searches for a target in one check. Those that could save most come first.
constexpr std::size_t max_searches_per_check = 8;

/// A run that may be worth a move.
struct movable_run
{
    std::uint64_t run_number = 0;
    /// Refer to the run and its sample.
    fleet::sample_requirements requirements;
    /// Upper bound of the time that a move saves.
    double max_saved_us = 0;
};

fleet::sample_requirements requirements_of(gateway const& self, sample_run const& run,
                                           run_context const& context)
{
    fleet::sample_requirements need;
    need.service = run.origin.service;
    need.model = context.spec->model;
    need.least_version = context.job->spec.least_version;
    need.software_version = run.origin.software_version;
    need.avoided = run.upstream;
    need.events_left = expected_events_left(self, *context.job, run.index);
    need.due = context.job->due;
    need.request_id = context.spec->id;
    return need;
}

/// Finds the runs for which a move may save most time, those that may save most first.
std::vector<movable_run> find_movable_runs(gateway& self, base::mono_time now)
{
    std::vector<movable_run> found;
    for (auto const& [run_number, run] : self.runs)
    {
        if (!run.is_streaming || now < run.stays_until)
        {
            continue;
        }
        auto const context = context_of(self, run);
        if (!context)
        {
            continue;
        }
        auto const need = requirements_of(self, run, *context);
        auto const saved_us = fleet::max_saved_us(self.pool, run.upstream, need, now);
        if (saved_us > 0)
        {
            found.push_back({run_number, need, saved_us});
        }
    }
    std::sort(found.begin(), found.end(),
              [](movable_run const& a, movable_run const& b)
              { return a.max_saved_us > b.max_saved_us; });
    found.resize(std::min(found.size(), max_searches_per_check));
    return found;
}

} // namespace

void move_runs(gateway& self, base::mono_time now)
{
    // A text may only go on at an upstream whose software version is certain.
    if (!self.configuration || now < self.next_move_check || !has_current_upstreams(self, now))
    {
        return;
    }
    self.next_move_check = now + move_check_interval;
    std::size_t moves = 0;
    for (auto const& movable : find_movable_runs(self, now))
    {
        if (moves == max_moves_per_check)
        {
            return;
        }
        auto const& need = movable.requirements;
        if (auto const move =
                fleet::choose_move(self.pool, *self.configuration, need.avoided, need, now))
        {
            move_run(self, movable.run_number, *move, now);
            ++moves;
        }
    }
}

} // namespace gooseberrywood::gateway
