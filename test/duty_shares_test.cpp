#include "at_ms.hpp"
#include "duty.hpp"
#include "rollout/training_step.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

constexpr auto run_target = 7500ms;

base::wall_time wall_at(base::duration since_begin)
{
    return base::wall_time{} + since_begin;
}

rollout::job_record make_record(std::string model, base::duration submitted_at, bool ended)
{
    rollout::job_record record;
    record.model = std::move(model);
    record.submitted_at = wall_at(submitted_at);
    record.ended = ended;
    record.least_version = static_cast<std::uint32_t>(submitted_at / 4s);
    record.expected_tokens = 1000;
    return record;
}

/// Steps that two trainers have submitted every 4 s, at 16 s; those from `open_from` on are open.
std::vector<rollout::training_step>
steps_at_16_s(std::map<std::string, base::duration> const& open_from)
{
    std::vector<rollout::training_step> steps;
    for (auto const& [model, first_open] : open_from)
    {
        for (base::duration at = 0s; at <= 16s; at += 4s)
        {
            steps.push_back(rollout::step_of(make_record(model, at, at < first_open), run_target,
                                             wall_at(16'100ms)));
        }
    }
    return steps;
}

struct share_replay
{
    fleet::configuration configuration;
    fleet::pool pool;
    duty::weights_plan plan;
};

share_replay make_replay(int engines)
{
    share_replay replay;
    replay.configuration.services = {{"engines", 18, {"m0", "m1"}}};
    std::vector<fleet::upstream_record> listed;
    for (int i = 0; i < engines; ++i)
    {
        auto& record = listed.emplace_back();
        record.id = "u" + std::to_string(i);
        record.service = "engines";
    }
    (void)fleet::apply_list(replay.pool, listed, at_ms(0));
    duty::assign_models(replay.plan, replay.pool, replay.configuration, {}, {}, {});
    return replay;
}

std::size_t count_of(share_replay const& replay, std::string_view model)
{
    std::size_t count = 0;
    for (auto const& [id, assignment] : replay.plan.upstreams)
    {
        count += assignment.model == model ? 1 : 0;
    }
    return count;
}

void assign(share_replay& replay, rollout::model_demand const& demand,
            duty::move_conditions const& conditions)
{
    duty::assign_models(replay.plan, replay.pool, replay.configuration, {}, demand, conditions);
}

} // namespace

SCENARIO("a model that is behind gets engines from one that is ahead")
{
    // Regression test: a model whose steps were late got no more engines than before.
    auto replay = make_replay(20);
    GIVEN("models whose steps overlap but are in time")
    {
        auto const demand = rollout::recent_demand(steps_at_16_s({{"m0", 12s}, {"m1", 16s}}));
        THEN("no engine moves")
        {
            assign(replay, demand, {at_ms(16'100), false, {}});
            CHECK(count_of(replay, "m0") == 10);
        }
    }
    GIVEN("a model with a late step")
    {
        auto const steps = steps_at_16_s({{"m0", 8s}, {"m1", 16s}});
        auto const demand = rollout::recent_demand(steps);
        THEN("the work left in its older steps counts")
        {
            CHECK(demand.at("m0") == 2000);
            CHECK(demand.at("m1") == 1000);
            assign(replay, demand, {at_ms(16'100), false, {}});
            CHECK(count_of(replay, "m0") == 13);
        }
        THEN("its engines have the versions that its open steps need")
        {
            auto const needed = duty::needed_by(steps);
            CHECK(needed.at("m0").any_step == 2);
            CHECK(needed.at("m0").every_step == 4);
            CHECK(needed.at("m1").any_step == 4);
        }
    }
    GIVEN("a step whose end was lost")
    {
        THEN("it doesn't count once its caller must have given up")
        {
            CHECK(rollout::recent_demand(steps_at_16_s({{"m0", 0s}})).at("m0") == 2500);
            CHECK_FALSE(
                rollout::step_of(make_record("m0", 0s, false), run_target, wall_at(15s)).is_open);
        }
    }
}

SCENARIO("an engine is moved only if it is worth a load")
{
    // Guards against moves back and forth: each costs a load of weights and the cached prompts.
    auto replay = make_replay(20);
    rollout::model_demand const demand = {{"m0", 1300}, {"m1", 700}};
    std::vector<std::string> ids;
    for (auto& [id, assignment] : replay.plan.upstreams)
    {
        if (assignment.model == "m1")
        {
            ids.push_back(id);
            replay.pool.upstreams.at(id).running = 3;
            assignment.loaded_at = at_ms(2000);
        }
    }
    auto const model_of = [&](std::size_t number)
    {
        return replay.plan.upstreams.at(ids[number]).model;
    };
    THEN("the least busy engine moves first, then the one with the oldest load")
    {
        replay.pool.upstreams.at(ids[1]).running = 2;
        replay.plan.upstreams.at(ids[3]).loaded_at = at_ms(1000);
        replay.plan.upstreams.at(ids[5]).loaded_at = at_ms(1500);
        assign(replay, demand, {at_ms(3000), false, {}});
        CHECK(count_of(replay, "m0") == 13);
        CHECK(model_of(1) == "m0");
        CHECK(model_of(3) == "m0");
        CHECK(model_of(5) == "m0");
    }
    THEN("none moves for a deviation of less than 1.5 engines")
    {
        assign(replay, {{"m0", 1140}, {"m1", 860}}, {at_ms(3000), false, {}});
        CHECK(count_of(replay, "m0") == 10);
    }
    THEN("none moves while urgent loads wait, unless a model has no engine")
    {
        assign(replay, demand, {at_ms(3000), true, {}});
        CHECK(count_of(replay, "m0") == 10);
        replay.configuration.services[0].models.push_back("m2");
        assign(replay, demand, {at_ms(3000), true, {}});
        CHECK(count_of(replay, "m2") == 1);
    }
    WHEN("the demand changes back")
    {
        assign(replay, demand, {at_ms(3000), false, {{"m0", 6000ms}}});
        REQUIRE(count_of(replay, "m0") == 13);
        auto const moved_back_at = [&](std::int64_t ms)
        {
            assign(replay, {{"m0", 0}, {"m1", 2000}}, {at_ms(ms), false, {}});
            return 13 - count_of(replay, "m0");
        };
        THEN("the moved engines stay for one step of their model")
        {
            CHECK(moved_back_at(3100) == 10);
            CHECK(moved_back_at(8900) == 10);
            CHECK(moved_back_at(9000) == 13);
        }
    }
}

SCENARIO("the time between the steps of a model is learned")
{
    std::vector<rollout::training_step> steps;
    for (auto const at : {0s, 4s, 30s, 8s, 13s})
    {
        steps.push_back(rollout::step_of(make_record("m0", at, true), run_target, wall_at(31s)));
    }
    steps.push_back(rollout::step_of(make_record("m1", 0s, true), run_target, wall_at(31s)));
    auto const intervals = rollout::median_intervals(steps);
    CHECK(intervals.at("m0") == 5s);
    CHECK_FALSE(intervals.contains("m1"));
}
