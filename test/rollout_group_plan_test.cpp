#include "at_ms.hpp"
#include "rollout.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <random>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t samples_in_group = 8;
constexpr std::int64_t due_after_ms = 7500;
constexpr std::int64_t give_up_after_ms = 12000;

/// Time between two events in a slot of an engine, in milliseconds; 0 while it is out of service.
using slot_speed = std::function<double(std::size_t slot, std::int64_t now_ms)>;

/// Engines take 43 to 78 ms for an event.
double usual_speed(std::size_t slot, std::int64_t)
{
    return 43.0 + static_cast<double>(slot * 7 % 36);
}

base::duration to_duration(double ms)
{
    return base::duration(static_cast<std::int64_t>(ms * 1000));
}

struct replayed_sample
{
    std::size_t group = 0;
    double hint = 0;
    double events = 0;
    double generated = 0;
    std::optional<std::size_t> slot;
};

struct replayed_job
{
    std::int64_t submitted_ms = 0;
    std::size_t desired = 0;
    std::size_t groups = 0;
    std::size_t complete = 0;
};

/// A group with the time at which the trainer can read it, once that is known.
struct replayed_group
{
    std::size_t job = 0;
    std::size_t engines = 0;
    std::size_t position = 0;
    double hint = 0;
    std::optional<std::int64_t> end_ms;
};

/// Plays steps against engines without a network.
struct replay
{
    /// Number of slots by engines.
    std::vector<std::size_t> slots;
    bool hints_show_long_samples = true;
    slot_speed speed = usual_speed;
    std::vector<replayed_job> jobs = {};
    std::vector<replayed_group> groups = {};
    std::vector<replayed_sample> samples = {};
    std::mt19937 random{1};

    std::size_t add_job(std::int64_t submitted_ms, std::size_t desired)
    {
        jobs.push_back({submitted_ms, desired});
        return jobs.size() - 1;
    }

    /// Adds a group in which one sample in twelve is five times as long as the others.
    void add_group(std::size_t job, double hint, std::size_t engines = 0)
    {
        groups.push_back({job, engines, jobs[job].groups++, hint, {}});
        for (std::size_t i = 0; i < samples_in_group; ++i)
        {
            auto const variation = 0.7 + 0.6 * static_cast<double>(random() % 1000) / 1000;
            auto const events = hint * variation * (random() % 12 == 0 ? 5 : 1);
            samples.push_back(
                {groups.size() - 1, hints_show_long_samples ? events : hint, events, 0, {}});
        }
    }

    double any_hint()
    {
        return static_cast<double>(8 + random() % 13);
    }

    /// Adds a step of 13 groups.
    void add_step(std::int64_t submitted_ms, std::size_t engines = 0)
    {
        auto const job = add_job(submitted_ms, 12);
        for (std::size_t i = 0; i < 13; ++i)
        {
            add_group(job, any_hint(), engines);
        }
    }

    [[nodiscard]] bool is_in_time(replayed_group const& group) const
    {
        return group.end_ms && *group.end_ms <= jobs[group.job].submitted_ms + due_after_ms;
    }

    [[nodiscard]] std::int64_t in_time(std::size_t first_job, std::size_t last_job) const
    {
        return std::count_if(groups.begin(), groups.end(),
                             [&](replayed_group const& group) {
                                 return group.job >= first_job && group.job <= last_job &&
                                        is_in_time(group);
                             });
    }

    /// Whether the sample is incomplete and the trainer waits for its job.
    [[nodiscard]] bool is_open(replayed_sample const& sample, std::int64_t now_ms) const
    {
        auto const& job = jobs[groups[sample.group].job];
        return sample.generated < sample.events && job.complete < job.desired &&
               now_ms >= job.submitted_ms && now_ms < job.submitted_ms + give_up_after_ms;
    }

    void play(std::int64_t from_ms, std::int64_t until_ms)
    {
        constexpr std::int64_t tick_ms = 20;
        for (auto now_ms = from_ms; now_ms < until_ms; now_ms += tick_ms)
        {
            generate(now_ms, tick_ms);
            start(now_ms);
        }
    }

    void generate(std::int64_t now_ms, std::int64_t tick_ms)
    {
        std::vector<bool> is_incomplete(groups.size());
        for (auto& sample : samples)
        {
            auto const ms_per_event = sample.slot ? speed(*sample.slot, now_ms) : 0;
            sample.generated += ms_per_event > 0 ? static_cast<double>(tick_ms) / ms_per_event : 0;
            if (!is_open(sample, now_ms))
            {
                sample.slot.reset();
            }
            is_incomplete[sample.group] =
                is_incomplete[sample.group] || sample.generated < sample.events;
        }
        for (std::size_t i = 0; i < groups.size(); ++i)
        {
            if (!is_incomplete[i] && !groups[i].end_ms)
            {
                groups[i].end_ms = now_ms + rollout::group_finish_margin / 1ms;
                ++jobs[groups[i].job].complete;
            }
        }
    }

    /// Adds the capacity of engines to the input.
    /// \returns their free slots, the fastest one last.
    std::vector<std::size_t> add_engines(rollout::group_plan_input& input,
                                         std::int64_t now_ms) const
    {
        std::vector<std::pair<double, std::size_t>> serving;
        double events_per_ms = 0;
        for (std::size_t slot = 0; slot < slots[input.engines.size()]; ++slot)
        {
            if (auto const ms = speed(slot, now_ms); ms > 0)
            {
                serving.emplace_back(ms, slot);
                events_per_ms += 1 / ms;
            }
        }
        std::sort(serving.rbegin(), serving.rend());
        std::vector<std::size_t> free;
        for (auto const& [ms, slot] : serving)
        {
            if (std::none_of(samples.begin(), samples.end(),
                             [&, slot = slot](replayed_sample const& sample) {
                                 return sample.slot == slot &&
                                        groups[sample.group].engines == input.engines.size();
                             }))
            {
                free.push_back(slot);
            }
        }
        auto const median = serving.empty() ? 55 : serving[serving.size() / 2].first;
        auto const fastest = serving.empty() ? 55 : serving.back().first;
        input.engines.push_back(
            {events_per_ms * median, to_duration(median), to_duration(fastest)});
        return free;
    }

    /// \param open the samples of the input, as indexes.
    [[nodiscard]] rollout::group_plan_input make_input(std::vector<std::size_t> const& open,
                                                       std::int64_t now_ms) const
    {
        rollout::group_plan_input input;
        for (auto const& job : jobs)
        {
            input.jobs.push_back({at_ms(job.submitted_ms + due_after_ms),
                                  at_ms(job.submitted_ms + give_up_after_ms), 0, job.groups,
                                  job.desired, job.complete});
        }
        std::vector<std::optional<std::size_t>> index_of(groups.size());
        for (auto const i : open)
        {
            auto const& sample = samples[i];
            auto const& group = groups[sample.group];
            if (!index_of[sample.group])
            {
                index_of[sample.group] = input.groups.size();
                input.groups.push_back({group.job, group.engines, group.position});
            }
            auto const left =
                rollout::events_left({}, sample.hint, static_cast<std::size_t>(sample.generated));
            input.samples.push_back({*index_of[sample.group], left,
                                     to_duration(sample.slot ? speed(*sample.slot, now_ms) : 0),
                                     !sample.slot});
        }
        return input;
    }

    void start(std::int64_t now_ms)
    {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < samples.size(); ++i)
        {
            if (is_open(samples[i], now_ms))
            {
                open.push_back(i);
            }
        }
        auto input = make_input(open, now_ms);
        std::vector<std::vector<std::size_t>> free;
        while (free.size() < slots.size())
        {
            free.push_back(add_engines(input, now_ms));
        }
        for (auto const i : rollout::plan_groups(input, at_ms(now_ms)).order)
        {
            auto& available = free[groups[samples[open[i]].group].engines];
            if (!available.empty())
            {
                samples[open[i]].slot = available.back();
                available.pop_back();
            }
        }
    }
};

void add_steps(replay& replay, std::size_t count, std::size_t engines = 0)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        replay.add_step(0, engines);
    }
}

} // namespace

SCENARIO("when the engines can't complete all groups in time, some are complete and not all late")
{
    // Guards against an order in which all steps share the engines and all are late. Bounds: at
    // least half of the groups that the engines can still complete by the due time.
    replay replay{{50}};
    WHEN("five steps arrive at once, with capacity for three")
    {
        add_steps(replay, 5);
        replay.play(0, 12'000);
        CHECK(replay.in_time(0, 4) >= 3 * 13 / 2);
    }
    WHEN("the same happens, and the hints do not show which samples are long")
    {
        replay.hints_show_long_samples = false;
        add_steps(replay, 5);
        replay.play(0, 12'000);
        CHECK(replay.in_time(0, 4) >= 3 * 13 / 2);
    }
    WHEN("three steps have waited for the end of an outage, the first one too long")
    {
        replay.speed = [](std::size_t slot, std::int64_t now_ms)
        {
            return now_ms < 5000 ? 0 : usual_speed(slot, now_ms);
        };
        replay.add_step(0);
        replay.add_step(2000);
        replay.add_step(4000);
        replay.play(0, 16'000);
        CHECK(replay.in_time(1, 2) >= 2 * 13 / 2);
    }
    WHEN("half of the slots become four times slower after 2 s of three steps")
    {
        // 2 s of all slots and 5 s of five eighths of them are enough for two of the three steps.
        replay.speed = [](std::size_t slot, std::int64_t now_ms)
        {
            return usual_speed(slot, now_ms) * (now_ms > 2000 && slot % 2 == 0 ? 4 : 1);
        };
        add_steps(replay, 3);
        replay.play(0, 12'000);
        CHECK(replay.in_time(0, 2) >= 2 * 13 / 2);
    }
    WHEN("one of two models gets four times the work of the other")
    {
        replay.slots = {40, 40};
        replay.add_step(0);
        auto alone = replay;
        alone.play(0, 12'000);
        add_steps(replay, 4, 1);
        replay.play(0, 12'000);
        CHECK(replay.in_time(0, 0) == alone.in_time(0, 0));
        CHECK(replay.in_time(1, 4) >= 2 * 13 / 2);
    }
}

SCENARIO("while the engines can complete all groups in time, the longest sample starts first")
{
    GIVEN("a step of 48 samples for 16 slots whose longest samples are submitted last")
    {
        replay replay{{16}};
        replay.speed = [](std::size_t, std::int64_t)
        {
            return 50;
        };
        auto const job = replay.add_job(0, 6);
        for (std::size_t i = 0; i < 48; ++i)
        {
            if (i % samples_in_group == 0)
            {
                replay.groups.push_back({job, 0, replay.jobs[job].groups++, 0, {}});
            }
            double const events = i < 43 ? 12 : 96;
            replay.samples.push_back({replay.groups.size() - 1, events, events, 0, {}});
        }
        replay.play(0, 12'000);
        THEN("the step ends with its longest samples")
        {
            CHECK(replay.groups.back().end_ms == 96 * 50 + rollout::group_finish_margin / 1ms);
        }
    }
    GIVEN("a sample of an older job, one of a newer job, and one that is already late")
    {
        rollout::group_plan_input input;
        input.engines = {{16, 50ms, 50ms}};
        for (auto const due_ms : {500, 9000, 5000})
        {
            input.groups.push_back({input.jobs.size(), 0, 0});
            input.samples.push_back({input.jobs.size(), 2, {}, true});
            input.jobs.push_back({at_ms(due_ms), at_ms(due_ms + 4500), 0, 1, 1, 0});
        }
        THEN("the older job comes first and the late sample last")
        {
            CHECK(rollout::plan_groups(input, at_ms(1000)).order ==
                  std::vector<std::size_t>{2, 1, 0});
        }
    }
}

SCENARIO("a trainer that comes again with groups of an earlier step gets these first")
{
    // The trainer waits for these groups whatever else is complete. They stand first in the job.
    replay replay{{10}};
    auto const job = replay.add_job(0, 16);
    replay.add_group(job, 18);
    replay.add_group(job, 18);
    for (std::size_t i = 2; i < 18; ++i)
    {
        replay.add_group(job, 12);
    }
    replay.play(0, 12'000);
    CHECK(replay.in_time(0, 0) < 16);
    CHECK(replay.is_in_time(replay.groups[0]));
    CHECK(replay.is_in_time(replay.groups[1]));
}

SCENARIO("the largest groups are not starved while the engines are short")
{
    // The largest tenth must be served at least half as often as the others. Groups that failed
    // stand first in a later step.
    replay replay{{14}};
    std::vector<double> failed;
    for (std::size_t step = 0; step < 60; ++step)
    {
        auto const begin_ms = static_cast<std::int64_t>(step) * 4000;
        auto const job = replay.add_job(begin_ms, 9);
        for (std::size_t i = 0; i < 10; ++i)
        {
            replay.add_group(job, i < failed.size() ? failed[i] : replay.any_hint());
        }
        replay.play(begin_ms, begin_ms + 4000);
        failed.clear();
        for (auto const& group : replay.groups)
        {
            if (group.job + 2 == job && !group.end_ms)
            {
                failed.push_back(group.hint);
            }
        }
    }
    std::sort(replay.groups.begin(), replay.groups.end(),
              [](auto const& a, auto const& b) { return a.hint < b.hint; });
    auto const largest = replay.groups.begin() + 540;
    auto const is_served = [&](replayed_group const& group)
    {
        return replay.is_in_time(group);
    };
    auto const served_others = std::count_if(replay.groups.begin(), largest, is_served);
    auto const served_largest = std::count_if(largest, replay.groups.end(), is_served);
    CHECK(served_others < 540 * 9 / 10);
    CHECK(served_largest * 9 >= served_others / 2);
}

SCENARIO("ranks of groups")
{
    rollout::group_plan_input input;
    input.engines = {{1, 50ms, 40ms}};
    input.jobs = {{at_ms(7500), at_ms(12'000), 0, 4, 3, 0}};
    for (std::size_t i = 0; i < 4; ++i)
    {
        input.groups.push_back({0, 0, i});
    }
    GIVEN("a group that is nearly complete, and others for which one slot has no time")
    {
        input.samples = {
            {3, 4, {}, true}, {2, 60, {}, true}, {1, 170, {}, true}, {0, 400, {}, true}};
        auto const plan = rollout::plan_groups(input, at_ms(0));
        THEN("all are started, in the order of what can be expected of them")
        {
            using enum rollout::group_rank;
            CHECK(plan.ranks == std::vector{expired, late, in_time, in_time});
            CHECK(plan.order == std::vector<std::size_t>{0, 1, 2, 3});
            CHECK(plan.earliest_ends[2] == at_ms(2400 + 500));
        }
    }
    GIVEN("more groups than the trainer waits for")
    {
        input.jobs[0].complete = 1;
        input.samples = {
            {3, 40, {}, true}, {2, 30, {}, true}, {1, 20, {}, true}, {0, 20, {}, true}};
        auto const plan = rollout::plan_groups(input, at_ms(0));
        THEN("the others come last, but never one that may be of an earlier step")
        {
            using enum rollout::group_rank;
            CHECK(plan.ranks == std::vector{in_time, in_time, not_awaited, not_awaited});
            input.jobs[0].carried = 3;
            CHECK(rollout::plan_groups(input, at_ms(0)).ranks[2] == in_time);
        }
    }
    GIVEN("a sample whose due time leaves no time to wait")
    {
        // An event takes 43 to 78 ms, and the longest samples have 146 events: such a sample must
        // start at once, also when another group is nearer to completion.
        input.jobs[0].desired = 4;
        input.engines[0].slots = 3;
        input.samples = {
            {0, 60, {}, true}, {1, 60, {}, true}, {2, 146, {}, true}, {3, 140, {}, true}};
        auto const plan = rollout::plan_groups(input, at_ms(0));
        CHECK(plan.ranks[3] == rollout::group_rank::late);
        CHECK(plan.order == std::vector<std::size_t>{2, 0, 1, 3});
    }
    GIVEN("a hint and a number of slots that are absurd")
    {
        input.engines[0].slots = 4e9;
        input.jobs[0].due = at_ms(1'000'000'000'000);
        input.samples = {{0, 1e12, {}, true}, {0, 5, {}, true}};
        CHECK(rollout::plan_groups(input, at_ms(0)).order.size() == 2);
    }
}

SCENARIO("the length of samples is learned")
{
    rollout::length_estimate estimate;
    CHECK(rollout::events_left(estimate, 10, 0) == doctest::Approx(10));
    CHECK(rollout::events_left(estimate, 0, 0) == doctest::Approx(18));
    for (std::size_t i = 0; i < 1000; ++i)
    {
        rollout::note_length(estimate, 10, 20);
    }
    CHECK(rollout::events_left(estimate, 15, 0) == doctest::Approx(30).epsilon(0.1));
    CHECK(rollout::events_left(estimate, 0, 0) == doctest::Approx(20).epsilon(0.1));
    THEN("a sample that exceeds the estimate is expected to go on, the longer it is the longer")
    {
        CHECK(rollout::events_left(estimate, 10, 30) >= 1);
        CHECK(rollout::events_left(estimate, 10, 90) > rollout::events_left(estimate, 10, 30));
    }
}
