#include "fleet.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time at_ms(std::int64_t milliseconds)
{
    return base::mono_time{std::chrono::milliseconds(milliseconds)};
}

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

std::vector<fleet::upstream_record> records(std::initializer_list<char const*> ids)
{
    std::vector<fleet::upstream_record> made;
    for (auto const* id : ids)
    {
        made.push_back(make_record(id));
    }
    return made;
}

} // namespace

SCENARIO("the pool follows the list of upstreams")
{
    fleet::pool pool;
    (void)fleet::apply_list(pool, records({"a", "b"}), at_ms(0));
    WHEN("an upstream is missing in the list")
    {
        auto const change = fleet::apply_list(pool, records({"a"}), at_ms(1000));
        THEN("it is gone at once")
        {
            CHECK(pool.upstreams.size() == 1);
            CHECK(change.removed == std::vector<std::string>{"b"});
        }
    }
    WHEN("the list is empty after an outage of the store")
    {
        pool.keep_missing_until = at_ms(3300);
        (void)fleet::apply_list(pool, records({"a"}), at_ms(1000));
        THEN("what is missing gets no work but is kept")
        {
            CHECK(pool.upstreams.at("b").missing);
        }
        AND_WHEN("it comes back")
        {
            (void)fleet::apply_list(pool, records({"a", "b"}), at_ms(2000));
            THEN("it gets work again")
            {
                CHECK_FALSE(pool.upstreams.at("b").missing);
            }
        }
        AND_WHEN("it is still missing after the time in which entries return")
        {
            (void)fleet::apply_list(pool, records({"a"}), at_ms(3400));
            THEN("it counts as gone")
            {
                CHECK_FALSE(pool.upstreams.contains("b"));
            }
        }
    }
    WHEN("an answer told of newer weights than the list")
    {
        fleet::note_weights(pool, "a", "m", 4);
        (void)fleet::apply_list(pool, records({"a", "b"}), at_ms(1000));
        THEN("an older list does not take them back")
        {
            CHECK(pool.upstreams.at("a").record.weights.at("m") == 4);
        }
        AND_WHEN("the upstream starts again under its id")
        {
            auto listed = records({"a", "b"});
            listed[0].started_ms = 6;
            (void)fleet::apply_list(pool, listed, at_ms(2000));
            THEN("nothing of before is believed")
            {
                CHECK(pool.upstreams.at("a").record.weights.at("m") == 1);
            }
        }
    }
}

SCENARIO("failures leave an upstream out for a while")
{
    fleet::pool pool;
    (void)fleet::apply_list(pool, records({"a"}), at_ms(0));
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
        AND_WHEN("it fails again each time it is tried")
        {
            for (int i = 1; i < 12; ++i)
            {
                fleet::note_failure(pool, "a", pool.upstreams.at("a").suspended_until);
            }
            THEN("the pause is bounded")
            {
                auto const before = pool.upstreams.at("a").suspended_until;
                fleet::note_failure(pool, "a", before);
                CHECK(pool.upstreams.at("a").suspended_until - before <= 4s);
            }
        }
    }
    WHEN("its speed was measured long ago")
    {
        fleet::note_event_interval(pool, "a", 150ms, at_ms(1000));
        THEN("it is forgotten, so that a slow upstream gets work again")
        {
            fleet::discard_stale_means(pool, at_ms(3000));
            CHECK(pool.upstreams.at("a").event_time.us > 0);
            fleet::discard_stale_means(pool, at_ms(5000));
            CHECK(pool.upstreams.at("a").event_time.us == 0);
        }
    }
}
