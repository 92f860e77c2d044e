#include "at_ms.hpp"
#include "duty.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <map>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

fleet::configuration make_configuration()
{
    fleet::configuration configuration;
    configuration.services = {{"engines", 18, {"m0", "m1"}}};
    return configuration;
}

fleet::upstream_record make_record(std::string id, std::string domain)
{
    fleet::upstream_record record;
    record.id = std::move(id);
    record.service = "engines";
    record.address = "127.0.0.1:1";
    record.domain = std::move(domain);
    record.slots = 8;
    record.weights = {{"m0", 1}, {"m1", 1}};
    return record;
}

std::vector<fleet::upstream_record> eight_upstreams()
{
    std::vector<fleet::upstream_record> listed;
    listed.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        listed.push_back(make_record("u" + std::to_string(i), i < 4 ? "krapina" : "zabok"));
    }
    return listed;
}

std::map<std::string, int> counts_by_model(duty::weights_plan const& plan)
{
    std::map<std::string, int> counts;
    for (auto const& [id, assignment] : plan.upstreams)
    {
        ++counts[assignment.model];
    }
    return counts;
}

} // namespace

SCENARIO("a process does not regain the leadership too soon after it lost it")
{
    duty::candidate candidate;
    auto const lease_deadline = at_ms(10'000);
    THEN("it campaigns when there is no leader and its lease is valid")
    {
        CHECK(duty::should_campaign(candidate, false, lease_deadline, at_ms(0)));
        CHECK_FALSE(duty::should_campaign(candidate, true, lease_deadline, at_ms(0)));
        CHECK_FALSE(duty::should_campaign(candidate, false, lease_deadline, at_ms(10'000)));
    }
    WHEN("it is the leader")
    {
        candidate.held = duty::authority{"edge-1", 7};
        THEN("it acts only while its lease is known to be valid")
        {
            CHECK(duty::active_authority(candidate, lease_deadline, at_ms(9'999))->fencing == 7);
            CHECK_FALSE(
                duty::active_authority(candidate, lease_deadline, at_ms(10'000)).has_value());
        }
        AND_WHEN("it loses the leadership")
        {
            duty::note_leadership_lost(candidate, 3s, at_ms(1'000));
            THEN("it does not campaign within the turn, so that leaders can't alternate quickly")
            {
                CHECK_FALSE(
                    duty::active_authority(candidate, lease_deadline, at_ms(1'001)).has_value());
                CHECK_FALSE(duty::should_campaign(candidate, false, lease_deadline, at_ms(4'000)));
                CHECK(duty::should_campaign(candidate, false, lease_deadline, at_ms(4'600)));
            }
        }
    }
}

SCENARIO("the counts of many processes are removed in several transactions")
{
    // Guards against transactions that the store refuses because of their size: 88 processes store
    // counts, and a transaction may contain 32 entries.
    std::vector<std::string> keys;
    keys.reserve(88);
    for (int host = 0; host < 88; ++host)
    {
        keys.push_back(duty::usage_key(7, "edge-" + std::to_string(host)));
    }
    std::size_t removed = 0;
    int transactions = 0;
    while (!keys.empty())
    {
        auto const removal = duty::take_removals(keys);
        CHECK(removal.removals.size() <= store::max_transaction_entries);
        removed += removal.removals.size();
        ++transactions;
    }
    CHECK(removed == 88);
    CHECK(transactions == 3);
    THEN("the report is one conditional write, regardless of the number of processes")
    {
        auto const write = duty::report_transaction({7, {{"team-a", 3}}});
        CHECK(write.expected.size() == 1);
        CHECK(write.expected[0].revision == 0);
        CHECK(write.writes.size() == 1);
        CHECK(write.removals.empty());
    }
}

SCENARIO("each model gets its own share of the upstreams")
{
    auto const configuration = make_configuration();
    fleet::pool pool;
    auto listed = eight_upstreams();
    (void)fleet::apply_list(pool, listed, at_ms(0));
    duty::weights_plan plan;
    duty::latest_versions latest = {{"m0", 2}};
    duty::needed_versions needed;
    duty::assign_models(plan, pool, configuration, latest, {}, {});
    THEN("the shares are equal, also within a failure domain")
    {
        CHECK(counts_by_model(plan) == std::map<std::string, int>{{"m0", 4}, {"m1", 4}});
        int in_krapina = 0;
        for (int i = 0; i < 4; ++i)
        {
            in_krapina += plan.upstreams.at("u" + std::to_string(i)).model == "m0" ? 1 : 0;
        }
        CHECK(in_krapina == 2);
    }
    THEN("only upstreams of the model with a new version are ordered to load it, two at a time")
    {
        auto const due = duty::due_orders(plan, pool, latest, needed, at_ms(0));
        REQUIRE(due.size() == 2);
        CHECK(due[0].model == "m0");
        CHECK(due[0].version == 2);
    }
    WHEN("two of them are loading")
    {
        for (auto const& order : duty::due_orders(plan, pool, latest, needed, at_ms(0)))
        {
            auto& assignment = plan.upstreams.at(order.upstream);
            assignment.ordered_version = 2;
            assignment.loaded_at = at_ms(1000);
            assignment.retry_at = at_ms(4000);
        }
        THEN("the others are ordered only after these have finished")
        {
            CHECK(duty::due_orders(plan, pool, latest, needed, at_ms(500)).empty());
            CHECK(duty::due_orders(plan, pool, latest, needed, at_ms(1100)).size() == 2);
        }
        AND_WHEN("they never show the new version")
        {
            THEN("they may be ordered again after a while")
            {
                CHECK(duty::due_orders(plan, pool, latest, needed, at_ms(4100)).size() == 2);
            }
        }
    }
    WHEN(
        "both models get a new version, and the first one gets more faster than they can be loaded")
    {
        // Regression test: with versions at the limit of what can be loaded, the upstreams of one
        // model waited 8 s for their weights, because those of other models were always less busy.
        latest = {{"m0", 2}, {"m1", 2}};
        std::map<std::string, int> ordered;
        for (int round = 0; round < 4; ++round)
        {
            auto const now = at_ms(round * 1000);
            latest["m0"] = static_cast<std::uint32_t>(2 + round);
            for (auto const& order : duty::due_orders(plan, pool, latest, needed, now))
            {
                ++ordered[order.model];
                plan.ordered_at[order.model] = now;
                auto& assignment = plan.upstreams.at(order.upstream);
                assignment.ordered_version = order.version;
                assignment.loaded_at = now + 1s;
                assignment.retry_at = now + 10s;
                fleet::note_weights(pool, order.upstream, order.model, order.version);
            }
        }
        THEN("each model gets its share of the loads")
        {
            CHECK(ordered["m0"] == 4);
            CHECK(ordered["m1"] == 4);
        }
    }
    WHEN("the upstreams of only one of the models are too old for its running step")
    {
        // Guards against a blocked step whose upstreams wait while upstreams load weights that
        // their running step does not need.
        latest["m1"] = 3;
        needed = {{"m0", {1, 1}}, {"m1", {3, 3}}};
        plan.ordered_at["m1"] = at_ms(100);
        THEN("these upstreams come first, even if their model was the last one ordered")
        {
            auto const due = duty::due_orders(plan, pool, latest, needed, at_ms(200));
            REQUIRE(due.size() == 2);
            CHECK(due[0].model == "m1");
            CHECK(due[1].model == "m1");
        }
    }
    WHEN("another process becomes the leader")
    {
        for (auto const& [id, assignment] : plan.upstreams)
        {
            if (assignment.model == "m0")
            {
                fleet::note_weights(pool, id, "m0", 2);
            }
        }
        latest["m1"] = 2;
        for (auto const& [id, assignment] : plan.upstreams)
        {
            if (assignment.model == "m1")
            {
                fleet::note_weights(pool, id, "m1", 2);
            }
        }
        duty::weights_plan new_plan;
        duty::assign_models(new_plan, pool, configuration, latest, {}, {});
        THEN("it infers the shares from the loaded versions and moves no upstream")
        {
            for (auto const& [id, assignment] : plan.upstreams)
            {
                CHECK(new_plan.upstreams.at(id).model == assignment.model);
            }
        }
    }
    WHEN("the upstreams of one failure domain are removed")
    {
        listed.resize(4);
        (void)fleet::apply_list(pool, listed, at_ms(1000));
        duty::assign_models(plan, pool, configuration, latest, {}, {at_ms(1000), false, {}});
        THEN("both models keep a share")
        {
            CHECK(counts_by_model(plan) == std::map<std::string, int>{{"m0", 2}, {"m1", 2}});
        }
    }
}

SCENARIO("trainers of different sizes share the engines")
{
    // Regression test: the steps of eight trainers differ in size by a factor of up to 2.5. With
    // equal shares the large ones fell behind while the engines of the small ones were idle.
    rollout::model_demand const demand = {{"m0", 590},  {"m1", 1459}, {"m2", 1485}, {"m3", 673},
                                          {"m4", 1485}, {"m5", 1459}, {"m6", 759},  {"m7", 1368}};
    fleet::configuration configuration;
    configuration.services = {{"engines", 14, {"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}}};
    std::vector<fleet::upstream_record> listed;
    for (int i = 0; i < 92; ++i)
    {
        listed.push_back(make_record("u" + std::to_string(i), "d" + std::to_string(i % 5)));
        for (auto const& model : configuration.services[0].models)
        {
            listed.back().weights[model] = 1;
        }
    }
    fleet::pool pool;
    (void)fleet::apply_list(pool, listed, at_ms(0));
    duty::weights_plan plan;
    duty::assign_models(plan, pool, configuration, {}, {}, {});
    CHECK(counts_by_model(plan).at("m0") >= 11);
    duty::assign_models(plan, pool, configuration, {}, demand, {at_ms(1000), false, {}});
    auto const counts = counts_by_model(plan);
    THEN("the share of each model is proportional to the demand of its steps")
    {
        constexpr double all_tokens = 9278;
        for (auto const& [model, tokens] : demand)
        {
            CHECK(std::abs(counts.at(model) - 92 * tokens / all_tokens) <= 1.5);
        }
    }
    THEN("a small change of the demand moves no engine")
    {
        auto const shares_before = duty::shares_of(plan);
        auto changed_demand = demand;
        changed_demand["m1"] *= 1.03;
        changed_demand["m3"] *= 0.97;
        duty::assign_models(plan, pool, configuration, {}, changed_demand,
                            {at_ms(10'000), false, {}});
        CHECK(duty::shares_of(plan) == shares_before);
    }
    WHEN("a sixth of the engines is removed")
    {
        listed.resize(77);
        (void)fleet::apply_list(pool, listed, at_ms(10'000));
        duty::assign_models(plan, pool, configuration, {}, demand, {at_ms(10'000), false, {}});
        THEN("the shares remain proportional to the demand")
        {
            constexpr double all_tokens = 9278;
            auto const remaining_counts = counts_by_model(plan);
            for (auto const& [model, tokens] : demand)
            {
                CHECK(std::abs(remaining_counts.at(model) - 77 * tokens / all_tokens) <= 1.5);
            }
        }
    }
    WHEN("another process becomes the leader")
    {
        auto const shares = duty::decode_shares(duty::encode_shares(duty::shares_of(plan)));
        REQUIRE(shares.has_value());
        auto new_plan = duty::restore_plan(*shares, pool);
        duty::assign_models(new_plan, pool, configuration, {}, demand, {at_ms(10'000), false, {}});
        THEN("it continues with the same shares")
        {
            CHECK(duty::shares_of(new_plan) == duty::shares_of(plan));
        }
        CHECK_FALSE(duty::decode_shares("[]").has_value());
        CHECK_FALSE(duty::decode_shares(R"({"u":1})").has_value());
    }
}

SCENARIO("the demand of a model is the mean of its most recent steps")
{
    auto const make_step = [](std::string model, std::int64_t at_s, double tokens)
    {
        rollout::training_step step;
        step.model = std::move(model);
        step.submitted_at = base::wall_time{std::chrono::seconds(at_s)};
        step.expected_tokens = tokens;
        return step;
    };
    std::vector<rollout::training_step> const steps = {
        make_step("a", 1, 9000), make_step("a", 13, 300), make_step("a", 5, 100),
        make_step("a", 9, 200), make_step("b", 2, 50)};
    auto const demand = rollout::recent_demand(steps);
    CHECK(demand.at("a") == 200);
    CHECK(demand.at("b") == 50);
}

SCENARIO("requests are counted in the window in which they started")
{
    duty::usage_windows usage;
    usage.length = 5s;
    auto const wall_at_ms = [](std::int64_t milliseconds)
    {
        return base::wall_time{std::chrono::milliseconds(milliseconds)};
    };
    duty::count_request(usage, "a", wall_at_ms(9'999));
    duty::count_request(usage, "a", wall_at_ms(10'000));
    duty::count_request(usage, "b", wall_at_ms(14'999));
    CHECK(usage.counts.at(1).at("a") == 1);
    CHECK(usage.counts.at(2).at("a") == 1);
    CHECK(usage.counts.at(2).at("b") == 1);
    CHECK(duty::window_end(usage.length, 2) == wall_at_ms(15'000));
    CHECK(duty::decode_counts(duty::encode_counts(usage.counts.at(2))) == usage.counts.at(2));
    CHECK_FALSE(duty::decode_counts(R"({"a":-1})").has_value());
}
