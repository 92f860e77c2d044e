#include "at_ms.hpp"
#include "duty.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

constexpr auto tick = 20ms;
constexpr auto step_interval = 4000ms;
constexpr std::size_t models = 4;

std::string model_name(std::size_t number)
{
    return "m" + std::to_string(number);
}

/// Engines that carry out orders, and a leader that sees the list of engines late.
struct load_replay
{
    fleet::configuration configuration;
    fleet::pool pool;
    duty::weights_plan plan;
    duty::latest_versions latest;
    duty::needed_versions needed;
    /// What the engines have, and since when.
    std::vector<fleet::upstream_record> engines;
    std::map<std::string, base::mono_time> loaded_at;
    /// Lists on their way to the leader, with the time at which it reads them.
    std::deque<std::pair<base::mono_time, std::vector<fleet::upstream_record>>> lists;
    base::duration list_delay = 2000ms;
    int orders = 0;
    int repeated_orders = 0;
};

load_replay make_replay(std::size_t engines)
{
    load_replay replay;
    replay.configuration.services = {{"engines", 18, {}}};
    fleet::upstream_record record;
    record.service = "engines";
    record.slots = 6;
    for (std::size_t model = 0; model < models; ++model)
    {
        replay.configuration.services[0].models.push_back(model_name(model));
        record.weights[model_name(model)] = 1;
        replay.latest[model_name(model)] = 1;
    }
    for (std::size_t i = 0; i < engines; ++i)
    {
        record.id = "u" + std::to_string(i);
        record.domain = "d" + std::to_string(i % 3);
        replay.engines.push_back(record);
    }
    (void)fleet::apply_list(replay.pool, replay.engines, at_ms(0));
    duty::assign_models(replay.plan, replay.pool, replay.configuration, replay.latest, {}, {});
    return replay;
}

std::string const& model_of(load_replay const& replay, fleet::upstream_record const& engine)
{
    return replay.plan.upstreams.at(engine.id).model;
}

void send_due_orders(load_replay& replay, base::mono_time now)
{
    for (auto const& order :
         duty::due_orders(replay.plan, replay.pool, replay.latest, replay.needed, now))
    {
        auto& engine = *std::find_if(replay.engines.begin(), replay.engines.end(),
                                     [&](auto const& known) { return known.id == order.upstream; });
        ++replay.orders;
        replay.repeated_orders += engine.weights[order.model] >= order.version ? 1 : 0;
        engine.weights[order.model] = order.version;
        replay.loaded_at[engine.id] = now + duty::typical_load_time;
        replay.plan.ordered_at[order.model] = now;
        duty::note_order_accepted(replay.plan.upstreams.at(order.upstream), order, now);
    }
}

void exchange_lists(load_replay& replay, base::mono_time now)
{
    auto listed = replay.engines;
    for (auto& engine : listed)
    {
        if (now < replay.loaded_at[engine.id])
        {
            // While it loads, an engine shows the version before.
            engine.weights = replay.pool.upstreams.at(engine.id).record.weights;
        }
    }
    replay.lists.emplace_back(now + replay.list_delay, std::move(listed));
    while (replay.lists.front().first <= now)
    {
        (void)fleet::apply_list(replay.pool, replay.lists.front().second, now);
        replay.lists.pop_front();
    }
}

bool serves(load_replay& replay, fleet::upstream_record const& engine, std::uint32_t least,
            base::mono_time now)
{
    return now >= replay.loaded_at[engine.id] &&
           fleet::version_of(engine.weights, model_of(replay, engine)) >= least;
}

/// One trainer names version k and submits step k every four seconds from a start time. Step k
/// accepts version k - 1 and stays open for `open_for`.
struct trainer
{
    base::mono_time begin{};
    base::duration open_for{};
    base::mono_time named_at{};
};

void submit_steps(load_replay& replay, std::string const& model, trainer& trainer,
                  base::mono_time now)
{
    if (now < trainer.begin)
    {
        return;
    }
    auto const version = static_cast<std::uint32_t>((now - trainer.begin) / step_interval + 2);
    trainer.named_at = trainer.begin + (version - 2) * step_interval;
    replay.latest[model] = version;
    bool const previous_is_open =
        version > 2 && now - trainer.named_at + step_interval < trainer.open_for;
    replay.needed[model] = {previous_is_open ? version - 2 : version - 1, version - 1,
                            step_interval};
}

/// Outcome of a replay over the time after the first loads.
struct replay_outcome
{
    std::int64_t engine_ticks = 0;
    /// Ticks in which an engine could serve an open step.
    std::int64_t usable_ticks = 0;
    /// Ticks in which an engine was too old for the newest step two load rounds after it was named.
    std::int64_t late_ticks = 0;
};

replay_outcome play(load_replay& replay, base::duration offset, base::duration open_for)
{
    std::map<std::string, trainer> trainers;
    for (std::size_t model = 0; model < models; ++model)
    {
        trainers[model_name(model)] = {
            at_ms(1000) + static_cast<int>(model) * offset, open_for, {}};
    }
    replay_outcome outcome;
    for (auto now = at_ms(1000); now < at_ms(41'000); now += tick)
    {
        for (auto& [model, trainer] : trainers)
        {
            submit_steps(replay, model, trainer, now);
        }
        send_due_orders(replay, now);
        exchange_lists(replay, now);
        for (auto const& engine : replay.engines)
        {
            auto const& model = model_of(replay, engine);
            if (replay.latest[model] <= 3)
            {
                continue;
            }
            auto const& needed = replay.needed[model];
            bool const is_late = now - trainers[model].named_at >= 2 * duty::typical_load_time &&
                                 fleet::version_of(engine.weights, model) < needed.every_step;
            ++outcome.engine_ticks;
            outcome.usable_ticks += serves(replay, engine, needed.any_step, now) ? 1 : 0;
            outcome.late_ticks += is_late ? 1 : 0;
        }
    }
    return outcome;
}

} // namespace

SCENARIO("versions are named faster than all engines can load them")
{
    // Guards against loads of engines that still serve the newest step while others wait with
    // weights that no open step accepts. 43 engines need 43 loads of 0.92 s per step of 4 s, of
    // which nine may run at once: 4.4 s.
    for (auto const offset : {0ms, 1000ms})
    {
        for (auto const open_for : {4000ms, 6000ms})
        {
            auto replay = make_replay(43);
            auto const outcome = play(replay, offset, open_for);
            CAPTURE(offset.count());
            CAPTURE(open_for.count());
            // An engine that loads once per step and never waits for a load can serve a step for
            // the rest of the time.
            CHECK(static_cast<double>(outcome.usable_ticks) >=
                  (1 - 0.92 / 4) * static_cast<double>(outcome.engine_ticks));
            CHECK(outcome.late_ticks == 0);
            // The list shows loads two seconds late.
            CHECK(replay.repeated_orders == 0);
        }
    }
}

SCENARIO("the order in which engines load")
{
    auto replay = make_replay(10);
    replay.latest["m0"] = 5;
    std::vector<std::string> ids;
    for (auto& [id, assignment] : replay.plan.upstreams)
    {
        if (assignment.model == "m0")
        {
            ids.push_back(id);
        }
    }
    REQUIRE(ids.size() >= 2);
    auto& first = replay.plan.upstreams.at(ids[0]);
    auto& second = replay.plan.upstreams.at(ids[1]);
    auto const next_order = [&](std::int64_t now_ms)
    {
        auto const due =
            duty::due_orders(replay.plan, replay.pool, replay.latest, replay.needed, at_ms(now_ms));
        return due.empty() ? std::string() : due[0].upstream;
    };
    GIVEN("engines of equal urgency")
    {
        for (auto& [id, assignment] : replay.plan.upstreams)
        {
            duty::note_order_accepted(assignment, {id, "", assignment.model, 4, 0}, at_ms(1000));
        }
        duty::note_order_accepted(second, {ids[1], "", "m0", 4, 0}, at_ms(0));
        THEN("the one with the oldest load comes first, not the one with the lowest id")
        {
            CHECK(next_order(2000) == ids[1]);
        }
        AND_WHEN("an order to it fails")
        {
            duty::note_order_failed(second, at_ms(2000));
            THEN("it is ordered again after a delay, and what it has loaded remains known")
            {
                CHECK(next_order(2100) == ids[0]);
                CHECK(next_order(2400) == ids[1]);
                replay.needed["m0"] = {4, 4};
                CHECK(duty::summarize_loads(replay.plan, replay.pool, replay.needed, at_ms(2100))
                          .at("m0")
                          .usable == ids.size());
            }
        }
        AND_WHEN("one engine is too old for every open step, one for the newest, one for none")
        {
            replay.needed["m0"] = {3, 4};
            duty::note_order_accepted(first, {ids[0], "", "m0", 3, 0}, at_ms(1000));
            second.ordered_version = 2;
            THEN("they come in this order")
            {
                auto const due = duty::due_orders(replay.plan, replay.pool, replay.latest,
                                                  replay.needed, at_ms(2000));
                REQUIRE(due.size() == 2);
                CHECK(due[0].upstream == ids[1]);
                CHECK(due[1].upstream == ids[0]);
            }
        }
    }
    GIVEN("an engine that has loaded the latest version but is listed with an old one")
    {
        replay.needed["m0"] = {5, 5};
        for (auto const& id : ids)
        {
            duty::note_order_accepted(replay.plan.upstreams.at(id), {id, "", "m0", 5, 0}, at_ms(0));
        }
        THEN("it is not ordered again until the list must show the version")
        {
            CHECK(next_order(2900).empty());
            CHECK_FALSE(next_order(4100).empty());
        }
        AND_WHEN("another process becomes the leader during the load")
        {
            for (auto const& id : ids)
            {
                fleet::note_load_order(replay.pool, id, {"m0", 5, at_ms(920)});
            }
            replay.plan = duty::restore_plan(duty::shares_of(replay.plan), replay.pool);
            THEN("it knows of the announced loads")
            {
                CHECK(next_order(500).empty());
                CHECK(duty::next_load_end(replay.plan, at_ms(500)) == at_ms(920));
                CHECK(next_order(2900).empty());
            }
        }
        AND_WHEN("it is moved to another model during the load")
        {
            std::erase_if(replay.engines, [&](auto const& engine) { return engine.id != ids[0]; });
            (void)fleet::apply_list(replay.pool, replay.engines, at_ms(1));
            replay.latest["m1"] = 2;
            replay.configuration.services[0].models = {"m1"};
            duty::assign_models(replay.plan, replay.pool, replay.configuration, replay.latest, {},
                                {});
            THEN("it is ordered as soon as the load has ended")
            {
                CHECK(next_order(900).empty());
                CHECK(next_order(920) == ids[0]);
            }
        }
    }
}

SCENARIO("engines skip a version if not all can load it")
{
    // Guards against loads that interrupt engines for a version that they don't need yet, while the
    // loads of the next step wait for them.
    auto replay = make_replay(43);
    replay.latest = {{"m0", 2}, {"m1", 2}, {"m2", 1}, {"m3", 1}};
    auto const orders_with_interval = [&](base::duration interval)
    {
        for (std::size_t model = 0; model < models; ++model)
        {
            replay.needed[model_name(model)] = {1, 1, interval};
        }
        return duty::due_orders(replay.plan, replay.pool, replay.latest, replay.needed, at_ms(0))
            .size();
    };
    WHEN("more engines can serve only the present steps than may load at once")
    {
        THEN("they are ordered")
        {
            CHECK(orders_with_interval(step_interval) == 9);
        }
    }
    WHEN("no more than that are left")
    {
        std::size_t left = 9;
        for (auto& [id, assignment] : replay.plan.upstreams)
        {
            bool const is_outdated = replay.latest[assignment.model] == 2;
            if (is_outdated && left == 0)
            {
                fleet::note_weights(replay.pool, id, assignment.model, 3);
            }
            left -= is_outdated && left > 0 ? 1 : 0;
        }
        THEN("they are ordered only if all loads fit into the time of a step, or a step needs them")
        {
            CHECK(orders_with_interval(step_interval) == 0);
            CHECK(orders_with_interval(5s) == 9);
            // The step of a named version comes before its record is read.
            replay.latest["m0"] = replay.latest["m1"] = 3;
            CHECK(orders_with_interval(step_interval) == 9);
            replay.needed["m0"] = {2, 2, step_interval};
            replay.needed["m1"] = {2, 2, step_interval};
            CHECK(duty::due_orders(replay.plan, replay.pool, replay.latest, replay.needed, at_ms(0))
                      .size() == 9);
        }
    }
}

SCENARIO("no model waits for engines of another one that are always as urgent")
{
    // Guards against starvation: the usable share of a model whose versions are named faster than
    // they can be loaded is always the smallest. Older steps of the other model stay open.
    auto replay = make_replay(8);
    std::map<std::string, int> ordered;
    for (int round = 0; round < 8; ++round)
    {
        auto const now = at_ms(10'000 + round * 1000);
        auto const version = static_cast<std::uint32_t>(10 + round);
        replay.latest = {{"m0", version}, {"m1", 2}};
        replay.needed = {{"m0", {version, version}}, {"m1", {1, 2}}};
        for (auto const& order :
             duty::due_orders(replay.plan, replay.pool, replay.latest, replay.needed, now))
        {
            ++ordered[order.model];
        }
        send_due_orders(replay, now);
        exchange_lists(replay, now);
    }
    CHECK(ordered["m1"] == 2);
}

SCENARIO("the counts of accepted orders are read before orders are due")
{
    auto replay = make_replay(43);
    CHECK(duty::due_queries(replay.plan, replay.latest, at_ms(0)).empty());
    for (std::size_t model = 0; model < models; ++model)
    {
        replay.latest[model_name(model)] = 2;
    }
    auto const due = duty::due_queries(replay.plan, replay.latest, at_ms(0));
    CHECK(due.size() == 9);
    for (auto const& id : due)
    {
        replay.plan.upstreams.at(id).querying = true;
    }
    CHECK(duty::due_queries(replay.plan, replay.latest, at_ms(0)).empty());
    duty::note_order_failed(replay.plan.upstreams.at(due[0]), at_ms(0));
    replay.plan.upstreams.at(due[0]).querying = false;
    auto const next = duty::due_queries(replay.plan, replay.latest, at_ms(100));
    REQUIRE(next.size() == 1);
    CHECK(next[0] != due[0]);
}
