#include "rollout/group_plan.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace gooseberrywood::rollout
{

namespace
{

// Share of the slots' time that is promised to groups. The rest is lost between two runs, in slots
// that are idle while the last samples of a step run, and to samples longer than expected. In
// replays, 0.9 completed fewer groups in time when engines became slow (12 instead of 17 of 39),
// and 0.6 fewer when the engines are just enough (57 instead of 60 of 65).
constexpr double usable_slot_share = 0.75;

// Slack that is added for each level by which a route is less urgent.
constexpr base::duration slack_per_priority = std::chrono::milliseconds(200);

// A sample with less slack on a slow engine can't wait until another one has ended: samples have 15
// to 20 events on average, which take 43 to 78 ms each. The first ones get the fast engines.
constexpr base::duration urgent_slack = std::chrono::milliseconds(1000);
constexpr double slow_engine_factor = 1.4;

// A group at the end of its job counts as if it had this many times more work than one at the
// beginning, which may have failed in an earlier step.
constexpr double extra_work_at_end = 1;

// Longer times are cut to this one, so that the sum over all samples can be represented even when
// a hint or a number of slots is absurd.
constexpr base::duration max_time = std::chrono::hours(24 * 100);

/// \returns the product of a count and a time.
base::duration time_of(double count, base::duration time)
{
    auto const us =
        std::min(count * static_cast<double>(time.count()), static_cast<double>(max_time.count()));
    return base::duration(static_cast<std::int64_t>(us));
}

/// Work that is left of one group.
struct group_work
{
    /// Time that its samples occupy slots.
    base::duration slot_time{};
    /// Part of `slot_time` that waits.
    base::duration waiting_slot_time{};
    /// Time until its last sample has ended if all of them run.
    base::duration longest{};
    bool is_carried = false;
    std::uint32_t priority = 0;
    /// Slot time, increased for a later position in the job.
    double rated_slot_time = 0;
    /// Place in the order of the groups.
    std::size_t place = 0;
};

/// Slot time that is promised to groups which are due by a time.
struct due_load
{
    std::size_t engines = 0;
    base::mono_time due{};
    base::duration promised{};
    base::duration available{};
};

struct planner
{
    group_plan_input const& input;
    base::mono_time now;
    group_plan plan;
    std::vector<group_work> work;
    /// Groups, nearest to completion first.
    std::vector<std::size_t> nearest;
    std::vector<due_load> loads;
    /// By engines: not all groups can be complete in time.
    std::vector<bool> is_short;
};

open_job const& job_of(planner const& self, std::size_t group)
{
    return self.input.jobs[self.input.groups[group].job];
}

engine_capacity const& engines_of(planner const& self, std::size_t group)
{
    return self.input.engines[self.input.groups[group].engines];
}

void measure_work(planner& self)
{
    self.work.resize(self.input.groups.size());
    for (auto const& sample : self.input.samples)
    {
        auto const& engines = engines_of(self, sample.group);
        bool const runs = sample.event_time > base::duration{};
        auto const slot_time =
            time_of(sample.events_left, runs ? sample.event_time : engines.event_time);
        auto const shortest =
            time_of(sample.events_left, runs ? sample.event_time : engines.fastest_event_time);
        auto& work = self.work[sample.group];
        work.slot_time += slot_time;
        work.waiting_slot_time += runs ? base::duration{} : slot_time;
        work.longest = std::max(work.longest, shortest);
    }
    for (std::size_t i = 0; i < self.work.size(); ++i)
    {
        auto const& job = job_of(self, i);
        auto const position = self.input.groups[i].position;
        self.work[i].is_carried = position < job.carried || position + job.desired < job.groups;
        self.work[i].priority = job.priority;
        auto const relative_position = static_cast<double>(position) /
                                       static_cast<double>(std::max<std::size_t>(job.groups, 1));
        self.work[i].rated_slot_time = static_cast<double>(self.work[i].slot_time.count()) *
                                       (1 + extra_work_at_end * relative_position);
    }
}

void order_groups(planner& self)
{
    self.nearest.resize(self.work.size());
    for (std::size_t i = 0; i < self.nearest.size(); ++i)
    {
        self.nearest[i] = i;
    }
    auto const key_of = [&](std::size_t group)
    {
        auto const& work = self.work[group];
        return std::tuple(work.priority, !work.is_carried, work.rated_slot_time, group);
    };
    std::sort(self.nearest.begin(), self.nearest.end(),
              [&](std::size_t a, std::size_t b) { return key_of(a) < key_of(b); });
    for (std::size_t place = 0; place < self.nearest.size(); ++place)
    {
        self.work[self.nearest[place]].place = place;
    }
}

/// Ranks each group as if it had all engines for itself.
void rank_by_longest_sample(planner& self)
{
    for (std::size_t i = 0; i < self.work.size(); ++i)
    {
        auto const& job = job_of(self, i);
        auto const end = self.now + self.work[i].longest + group_finish_margin;
        self.plan.earliest_ends.push_back(end);
        bool const can_complete = !self.input.groups[i].has_failed && end <= job.give_up_at;
        self.plan.ranks.push_back(!can_complete    ? group_rank::expired
                                  : end <= job.due ? group_rank::in_time
                                                   : group_rank::late);
    }
}

/// Finds the slot time until each due time. Samples that run are not stopped, whatever the rank of
/// their group is.
void collect_loads(planner& self)
{
    for (std::size_t i = 0; i < self.work.size(); ++i)
    {
        auto const engines = self.input.groups[i].engines;
        auto const due = job_of(self, i).due;
        bool const is_known = std::any_of(self.loads.begin(), self.loads.end(),
                                          [&](due_load const& load)
                                          { return load.engines == engines && load.due == due; });
        if (self.plan.ranks[i] == group_rank::in_time && !is_known)
        {
            auto const time = due - group_finish_margin - self.now;
            self.loads.push_back(
                {engines, due, {}, time_of(engines_of(self, i).slots * usable_slot_share, time)});
        }
    }
    for (auto const& sample : self.input.samples)
    {
        auto const running_time = time_of(sample.events_left, sample.event_time);
        for (auto& load : self.loads)
        {
            if (load.engines == self.input.groups[sample.group].engines)
            {
                load.promised += std::min(running_time, load.due - group_finish_margin - self.now);
            }
        }
    }
}

/// Calls a function with each load that includes the work of a group.
template <class Function>
void for_loads_of(planner& self, std::size_t group, Function const& function)
{
    for (auto& load : self.loads)
    {
        if (load.engines == self.input.groups[group].engines && load.due >= job_of(self, group).due)
        {
            function(load);
        }
    }
}

void promise(planner& self, std::size_t group, base::duration slot_time)
{
    for_loads_of(self, group, [&](due_load& load) { load.promised += slot_time; });
}

bool fits(planner& self, std::size_t group)
{
    bool has_room = true;
    for_loads_of(self, group,
                 [&](due_load const& load) {
                     has_room = has_room && load.promised + self.work[group].waiting_slot_time <=
                                                load.available;
                 });
    return has_room;
}

/// Finds the engines that can't complete all groups in time.
void find_shortage(planner& self)
{
    self.is_short.resize(self.input.engines.size());
    for (std::size_t i = 0; i < self.work.size(); ++i)
    {
        if (self.plan.ranks[i] == group_rank::in_time)
        {
            promise(self, i, self.work[i].waiting_slot_time);
        }
    }
    for (auto const& load : self.loads)
    {
        self.is_short[load.engines] = self.is_short[load.engines] || load.promised > load.available;
    }
    for (std::size_t i = 0; i < self.work.size(); ++i)
    {
        if (self.plan.ranks[i] == group_rank::in_time)
        {
            promise(self, i, -self.work[i].waiting_slot_time);
        }
    }
}

/// Where engines are short, chooses the groups that get them, and those that nobody waits for.
void choose_groups(planner& self)
{
    std::vector<std::size_t> awaited;
    for (auto const& job : self.input.jobs)
    {
        awaited.push_back(job.desired - std::min(job.desired, job.complete));
    }
    auto const take_awaited = [&](std::size_t group)
    {
        auto& count = awaited[self.input.groups[group].job];
        bool const is_awaited = count > 0 || self.work[group].is_carried;
        count -= std::min<std::size_t>(count, 1);
        return is_awaited;
    };
    std::vector<std::size_t> late;
    for (auto const group : self.nearest)
    {
        auto& rank = self.plan.ranks[group];
        if (!self.is_short[self.input.groups[group].engines])
        {
            continue;
        }
        if (rank == group_rank::late || (rank == group_rank::in_time && !fits(self, group)))
        {
            late.push_back(group);
        }
        else if (rank == group_rank::in_time && !take_awaited(group))
        {
            rank = group_rank::not_awaited;
        }
        else if (rank == group_rank::in_time)
        {
            promise(self, group, self.work[group].waiting_slot_time);
        }
    }
    for (auto const group : late)
    {
        self.plan.ranks[group] = take_awaited(group) ? group_rank::late : group_rank::not_awaited;
    }
}

/// Whether a sample starts by its slack, before those that start in the order of their groups.
/// \param slack slack of the sample on an engine of the typical speed.
/// \param needed time that the sample needs there.
bool starts_by_slack(planner const& self, std::size_t group, base::duration slack,
                     base::duration needed)
{
    auto const slack_on_slow_engine = slack - time_of(slow_engine_factor - 1, needed);
    return self.plan.ranks[group] == group_rank::in_time &&
           (!self.is_short[self.input.groups[group].engines] ||
            slack_on_slow_engine <= urgent_slack);
}

void order_samples(planner& self)
{
    struct sort_key
    {
        group_rank rank{};
        std::size_t place = 0;
        base::duration slack{};
        std::size_t sample = 0;

        auto operator<=>(sort_key const&) const = default;
    };
    std::vector<sort_key> keys;
    for (std::size_t i = 0; i < self.input.samples.size(); ++i)
    {
        auto const& sample = self.input.samples[i];
        if (sample.may_start)
        {
            auto const needed =
                time_of(sample.events_left, engines_of(self, sample.group).event_time);
            auto const& job = job_of(self, sample.group);
            auto const slack = job.due - self.now - group_finish_margin - needed;
            auto const place = starts_by_slack(self, sample.group, slack, needed)
                                   ? 0
                                   : self.work[sample.group].place + 1;
            keys.push_back({self.plan.ranks[sample.group], place,
                            slack + slack_per_priority * job.priority, i});
        }
    }
    std::sort(keys.begin(), keys.end());
    for (auto const& key : keys)
    {
        self.plan.order.push_back(key.sample);
    }
}

} // namespace

group_plan plan_groups(group_plan_input const& input, base::mono_time now)
{
    planner self{input, now, {}, {}, {}, {}, {}};
    measure_work(self);
    order_groups(self);
    rank_by_longest_sample(self);
    collect_loads(self);
    find_shortage(self);
    choose_groups(self);
    order_samples(self);
    return std::move(self.plan);
}

} // namespace gooseberrywood::rollout
