#include "at_ms.hpp"
#include "fleet.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

fleet::upstream_record make_record(std::string id)
{
    fleet::upstream_record record;
    record.id = std::move(id);
    record.service = "engines";
    record.address = "127.0.0.1:1";
    record.domain = "krapina";
    record.slots = 2;
    record.weights["m"] = 1;
    record.started_ms = 5;
    return record;
}

std::vector<fleet::upstream_record> make_records(std::initializer_list<char const*> ids)
{
    std::vector<fleet::upstream_record> records;
    for (auto const* id : ids)
    {
        records.push_back(make_record(id));
    }
    return records;
}

} // namespace

SCENARIO("the pool is updated from the list of upstreams")
{
    fleet::pool pool;
    (void)fleet::apply_list(pool, make_records({"a", "b"}), at_ms(0));
    WHEN("an upstream is missing from the list")
    {
        auto const change = fleet::apply_list(pool, make_records({"a"}), at_ms(1000));
        THEN("it is removed at once")
        {
            CHECK(pool.upstreams.size() == 1);
            CHECK(change.removed == std::vector<std::string>{"b"});
        }
    }
    WHEN("the list is incomplete after an outage of the store")
    {
        pool.keep_missing_until = at_ms(3300);
        (void)fleet::apply_list(pool, make_records({"a"}), at_ms(1000));
        THEN("a missing upstream is kept but marked as missing")
        {
            CHECK(pool.upstreams.at("b").missing);
        }
        AND_WHEN("it is listed again")
        {
            (void)fleet::apply_list(pool, make_records({"a", "b"}), at_ms(2000));
            THEN("it is no longer marked as missing")
            {
                CHECK_FALSE(pool.upstreams.at("b").missing);
            }
        }
        AND_WHEN("it is still missing when missing upstreams are no longer kept")
        {
            (void)fleet::apply_list(pool, make_records({"a"}), at_ms(3400));
            THEN("it is removed")
            {
                CHECK_FALSE(pool.upstreams.contains("b"));
            }
        }
    }
    WHEN("an answer has shown newer weights than the list")
    {
        fleet::note_weights(pool, "a", "m", 4);
        (void)fleet::apply_list(pool, make_records({"a", "b"}), at_ms(1000));
        THEN("an older list does not revert the version")
        {
            CHECK(pool.upstreams.at("a").record.weights.at("m") == 4);
        }
        AND_WHEN("the upstream restarts with the same id")
        {
            auto listed = make_records({"a", "b"});
            listed[0].started_ms = 6;
            (void)fleet::apply_list(pool, listed, at_ms(2000));
            THEN("the version of the earlier incarnation is discarded")
            {
                CHECK(pool.upstreams.at("a").record.weights.at("m") == 1);
            }
        }
    }
}

SCENARIO("failures suspend an upstream for a while")
{
    fleet::pool pool;
    (void)fleet::apply_list(pool, make_records({"a"}), at_ms(0));
    WHEN("eight requests fail together")
    {
        for (int i = 0; i < 8; ++i)
        {
            fleet::note_failure(pool, "a", at_ms(0));
        }
        THEN("they count as one failure")
        {
            CHECK(pool.upstreams.at("a").failures == 1);
            CHECK(pool.upstreams.at("a").suspended_until <= at_ms(500));
        }
        AND_WHEN("it fails again after each suspension")
        {
            for (int i = 1; i < 12; ++i)
            {
                fleet::note_failure(pool, "a", pool.upstreams.at("a").suspended_until);
            }
            THEN("the length of the suspension is bounded")
            {
                auto const suspended_until = pool.upstreams.at("a").suspended_until;
                fleet::note_failure(pool, "a", suspended_until);
                CHECK(pool.upstreams.at("a").suspended_until - suspended_until <= 4s);
            }
        }
    }
    WHEN("its speed was measured long ago")
    {
        fleet::note_event_interval(pool, "a", 150ms, at_ms(1000));
        THEN("the mean is discarded, so that a slow upstream gets requests again")
        {
            fleet::discard_stale_means(pool, at_ms(3000));
            CHECK(pool.upstreams.at("a").event_time.us > 0);
            fleet::discard_stale_means(pool, at_ms(5000));
            CHECK(pool.upstreams.at("a").event_time.us == 0);
        }
    }
}

SCENARIO("the capacity for a model counts the slots of its upstreams by their speed")
{
    fleet::pool pool;
    (void)fleet::apply_list(pool, make_records({"a", "b", "c", "d"}), at_ms(0));
    pool.shares = {{"a", "m"}, {"b", "m"}, {"c", "m"}, {"d", "other"}};
    auto const unmeasured = fleet::capacity_for(pool, "engines", "m", at_ms(0));
    CHECK(unmeasured.slots == 6);
    CHECK(unmeasured.event_time > 0ms);
    fleet::note_event_interval(pool, "a", 40ms, at_ms(0));
    fleet::note_event_interval(pool, "b", 50ms, at_ms(0));
    fleet::note_event_interval(pool, "c", 200ms, at_ms(0));
    auto const measured = fleet::capacity_for(pool, "engines", "m", at_ms(0));
    CHECK(measured.event_time == 50ms);
    CHECK(measured.fastest_event_time == 40ms);
    CHECK(measured.slots == doctest::Approx(2 * (1.25 + 1 + 0.25)));
    pool.domains_out.insert("krapina");
    CHECK(fleet::capacity_for(pool, "engines", "m", at_ms(0)).slots == 0);
}

SCENARIO("an upstream leaves a request without an answer")
{
    // Guards against a silent upstream that gets its share of the requests, each needing a hedge.
    fleet::pool pool;
    fleet::upstream_record record;
    record.id = "a";
    (void)fleet::apply_list(pool, {&record, 1}, at_ms(0));
    fleet::note_abandoned(pool, "a", 200ms, at_ms(200), 1);
    CHECK(pool.upstreams.at("a").answer_time.us == 200e3);
    fleet::note_abandoned(pool, "a", 20ms, at_ms(220), 1);
    CHECK(pool.upstreams.at("a").answer_time.us == 200e3);
}
