#include "duty.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <map>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time at_ms(std::int64_t milliseconds)
{
    return base::mono_time{std::chrono::milliseconds(milliseconds)};
}

fleet::configuration two_models()
{
    fleet::configuration made;
    made.services = {{"engines", 18, {"m0", "m1"}}};
    return made;
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
    std::map<std::string, int> shares;
    for (auto const& [id, one] : plan.upstreams)
    {
        ++shares[one.model];
    }
    return shares;
}

} // namespace

SCENARIO("processes take the leadership in turns that are far enough apart")
{
    duty::candidate own;
    auto const lease = at_ms(10'000);
    THEN("it applies when nobody leads and its lease holds")
    {
        CHECK(duty::should_campaign(own, false, lease, at_ms(0)));
        CHECK_FALSE(duty::should_campaign(own, true, lease, at_ms(0)));
        CHECK_FALSE(duty::should_campaign(own, false, lease, at_ms(10'000)));
    }
    WHEN("it leads")
    {
        own.held = duty::authority{"edge-1", 7};
        THEN("it acts only while its lease certainly holds")
        {
            CHECK(duty::active_authority(own, lease, at_ms(9'999))->fencing == 7);
            CHECK_FALSE(duty::active_authority(own, lease, at_ms(10'000)).has_value());
        }
        AND_WHEN("it loses the leadership")
        {
            duty::note_leadership_lost(own, 3s, at_ms(1'000));
            THEN("it does not lead again within the turn, so that A, B, A never happens in it")
            {
                CHECK_FALSE(duty::active_authority(own, lease, at_ms(1'001)).has_value());
                CHECK_FALSE(duty::should_campaign(own, false, lease, at_ms(4'000)));
                CHECK(duty::should_campaign(own, false, lease, at_ms(4'600)));
            }
        }
    }
}

SCENARIO("the counts of many processes are removed after their report")
{
    // Guards against reports that the store refuses: 88 processes leave counts, and a transaction
    // holds 32 entries.
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
    THEN("the report itself is one entry and its condition, however many processes there are")
    {
        auto const write = duty::report_transaction({7, {{"team-a", 3}}});
        CHECK(write.expected.size() == 1);
        CHECK(write.expected[0].revision == 0);
        CHECK(write.writes.size() == 1);
        CHECK(write.removals.empty());
    }
}

SCENARIO("each model has its own share of the upstreams")
{
    auto const in = two_models();
    fleet::pool pool;
    auto listed = eight_upstreams();
    (void)fleet::apply_list(pool, listed, at_ms(0));
    duty::weights_plan plan;
    duty::latest_versions named = {{"m0", 2}};
    fleet::weight_versions needed;
    duty::assign_models(plan, pool, in, named, {});
    THEN("shares are equal, also within a failure domain")
    {
        CHECK(counts_by_model(plan) == std::map<std::string, int>{{"m0", 4}, {"m1", 4}});
        int krapina = 0;
        for (int i = 0; i < 4; ++i)
        {
            krapina += plan.upstreams.at("u" + std::to_string(i)).model == "m0" ? 1 : 0;
        }
        CHECK(krapina == 2);
    }
    THEN("only the share of the named model is ordered, two at a time")
    {
        auto const due = duty::due_orders(plan, pool, named, needed, at_ms(0));
        REQUIRE(due.size() == 2);
        CHECK(due[0].model == "m0");
        CHECK(due[0].version == 2);
    }
    WHEN("two of them load")
    {
        for (auto const& order : duty::due_orders(plan, pool, named, needed, at_ms(0)))
        {
            auto& known = plan.upstreams.at(order.upstream);
            known.ordered_version = 2;
            known.loaded_at = at_ms(1000);
            known.retry_at = at_ms(4000);
        }
        THEN("the others wait, and are ordered when those are done")
        {
            CHECK(duty::due_orders(plan, pool, named, needed, at_ms(500)).empty());
            CHECK(duty::due_orders(plan, pool, named, needed, at_ms(1100)).size() == 2);
        }
        AND_WHEN("one of them never shows the version")
        {
            THEN("it is ordered again after a while")
            {
                CHECK(duty::due_orders(plan, pool, named, needed, at_ms(4100)).size() == 2);
            }
        }
    }
    WHEN("both models are named a version and the first one again, faster than can be loaded")
    {
        // Replays trainers whose versions come at the limit of what can be loaded: one model's
        // upstreams waited 8 s for their weights, because the others' were always less busy.
        named = {{"m0", 2}, {"m1", 2}};
        std::map<std::string, int> ordered;
        for (int round = 0; round < 4; ++round)
        {
            auto const now = at_ms(round * 1000);
            named["m0"] = static_cast<std::uint32_t>(2 + round);
            for (auto const& order : duty::due_orders(plan, pool, named, needed, now))
            {
                ++ordered[order.model];
                plan.ordered_at[order.model] = now;
                auto& known = plan.upstreams.at(order.upstream);
                known.ordered_version = order.version;
                known.loaded_at = now + 1s;
                known.retry_at = now + 10s;
                fleet::note_weights(pool, order.upstream, order.model, order.version);
            }
        }
        THEN("each gets its part of the loads")
        {
            CHECK(ordered["m0"] == 4);
            CHECK(ordered["m1"] == 4);
        }
    }
    WHEN("a running step can't use the upstreams of one model, and can use those of the other")
    {
        // Guards against a step that stands still while upstreams load which its neighbour can use.
        named["m1"] = 3;
        needed = {{"m0", 1}, {"m1", 3}};
        plan.ordered_at["m1"] = at_ms(100);
        THEN("those that it can't use come first, whichever was ordered last")
        {
            auto const due = duty::due_orders(plan, pool, named, needed, at_ms(200));
            REQUIRE(due.size() == 2);
            CHECK(due[0].model == "m1");
            CHECK(due[1].model == "m1");
        }
    }
    WHEN("another process comes to lead")
    {
        for (auto const& [id, one] : plan.upstreams)
        {
            if (one.model == "m0")
            {
                fleet::note_weights(pool, id, "m0", 2);
            }
        }
        named["m1"] = 2;
        for (auto const& [id, one] : plan.upstreams)
        {
            if (one.model == "m1")
            {
                fleet::note_weights(pool, id, "m1", 2);
            }
        }
        duty::weights_plan other;
        duty::assign_models(other, pool, in, named, {});
        THEN("it sees the shares in the versions and moves no upstream")
        {
            for (auto const& [id, one] : plan.upstreams)
            {
                CHECK(other.upstreams.at(id).model == one.model);
            }
        }
    }
    WHEN("the upstreams of one failure domain are lost")
    {
        listed.resize(4);
        (void)fleet::apply_list(pool, listed, at_ms(1000));
        duty::assign_models(plan, pool, in, named, {});
        THEN("both models keep a share")
        {
            CHECK(counts_by_model(plan) == std::map<std::string, int>{{"m0", 2}, {"m1", 2}});
        }
    }
}

SCENARIO("trainers of different sizes share the engines")
{
    // Replays eight trainers whose steps differ by a factor of two and a half. With equal shares
    // the large ones fell behind while the engines of the small ones stood idle.
    rollout::model_demand const demand = {{"m0", 590},  {"m1", 1459}, {"m2", 1485}, {"m3", 673},
                                          {"m4", 1485}, {"m5", 1459}, {"m6", 759},  {"m7", 1368}};
    fleet::configuration in;
    in.services = {{"engines", 14, {"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}}};
    std::vector<fleet::upstream_record> listed;
    for (int i = 0; i < 92; ++i)
    {
        listed.push_back(make_record("u" + std::to_string(i), "d" + std::to_string(i % 5)));
        for (auto const& model : in.services[0].models)
        {
            listed.back().weights[model] = 1;
        }
    }
    fleet::pool pool;
    (void)fleet::apply_list(pool, listed, at_ms(0));
    duty::weights_plan plan;
    duty::assign_models(plan, pool, in, {}, {});
    CHECK(counts_by_model(plan).at("m0") >= 11);
    duty::assign_models(plan, pool, in, {}, demand);
    auto const counts = counts_by_model(plan);
    THEN("each model's share follows what its steps need")
    {
        constexpr double all_tokens = 9278;
        for (auto const& [model, tokens] : demand)
        {
            CHECK(std::abs(counts.at(model) - 92 * tokens / all_tokens) <= 1.5);
        }
    }
    THEN("a step that is a little larger moves no engine")
    {
        auto const before = duty::shares_of(plan);
        auto next = demand;
        next["m1"] *= 1.03;
        next["m3"] *= 0.97;
        duty::assign_models(plan, pool, in, {}, next);
        CHECK(duty::shares_of(plan) == before);
    }
    WHEN("a sixth of the engines is lost")
    {
        listed.resize(77);
        (void)fleet::apply_list(pool, listed, at_ms(1000));
        duty::assign_models(plan, pool, in, {}, demand);
        THEN("no model loses much more than the others")
        {
            constexpr double all_tokens = 9278;
            auto const left = counts_by_model(plan);
            for (auto const& [model, tokens] : demand)
            {
                CHECK(std::abs(left.at(model) - 77 * tokens / all_tokens) <= 1.5);
            }
        }
    }
    WHEN("another process comes to lead")
    {
        auto const shares = duty::decode_shares(duty::encode_shares(duty::shares_of(plan)));
        REQUIRE(shares.has_value());
        auto other = duty::restore_plan(*shares, pool);
        duty::assign_models(other, pool, in, {}, demand);
        THEN("it goes on with the same shares")
        {
            CHECK(duty::shares_of(other) == duty::shares_of(plan));
        }
        CHECK_FALSE(duty::decode_shares("[]").has_value());
        CHECK_FALSE(duty::decode_shares(R"({"u":1})").has_value());
    }
}

SCENARIO("the demand for a model is what its last steps needed")
{
    auto const record = [](std::string model, std::int64_t at_s, std::uint64_t tokens)
    {
        rollout::job_record made;
        made.model = std::move(model);
        made.submitted_at = base::wall_time{std::chrono::seconds(at_s)};
        made.expected_tokens = tokens;
        return made;
    };
    std::vector<rollout::job_record> const records = {record("a", 1, 9000), record("a", 13, 300),
                                                      record("a", 5, 100), record("a", 9, 200),
                                                      record("b", 2, 50)};
    std::vector<rollout::job_record const*> all;
    all.reserve(records.size());
    for (auto const& one : records)
    {
        all.push_back(&one);
    }
    auto const demand = rollout::recent_demand(all);
    CHECK(demand.at("a") == 200);
    CHECK(demand.at("b") == 50);
}

SCENARIO("requests are counted in the window in which they began")
{
    duty::usage_windows usage;
    usage.length = 5s;
    auto const at = [](std::int64_t milliseconds)
    {
        return base::wall_time{std::chrono::milliseconds(milliseconds)};
    };
    duty::count_request(usage, "a", at(9'999));
    duty::count_request(usage, "a", at(10'000));
    duty::count_request(usage, "b", at(14'999));
    CHECK(usage.counts.at(1).at("a") == 1);
    CHECK(usage.counts.at(2).at("a") == 1);
    CHECK(usage.counts.at(2).at("b") == 1);
    CHECK(duty::window_end(usage.length, 2) == at(15'000));
    CHECK(duty::decode_counts(duty::encode_counts(usage.counts.at(2))) == usage.counts.at(2));
    CHECK_FALSE(duty::decode_counts(R"({"a":-1})").has_value());
}
