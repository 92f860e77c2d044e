#include "at_ms.hpp"
#include "fleet.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;
using fleet::issuer_certainty;

namespace
{

fleet::upstream_record make_record(std::string id)
{
    fleet::upstream_record record;
    record.id = std::move(id);
    record.service = "desk";
    record.address = "127.0.0.1:1";
    record.slots = 2;
    return record;
}

/// Number of permits that a bucket grants when it is asked each 10 ms.
int granted_within(fleet::permit_bucket& bucket, double limit, issuer_certainty certainty,
                   std::int64_t begin_ms, std::int64_t end_ms)
{
    int granted = 0;
    for (auto now = begin_ms; now < end_ms; now += 10)
    {
        granted += fleet::take_permit(bucket, limit, certainty, at_ms(now)) ? 1 : 0;
    }
    return granted;
}

} // namespace

SCENARIO("answers that arrive out of order state the rate limit of an upstream")
{
    fleet::rate_limit limit;
    CHECK(fleet::note_statement(limit, 4.0, at_ms(0), at_ms(100)));
    WHEN("an answer to an earlier request states no limit")
    {
        // Guards against a limit that is removed by an answer from before it was stated.
        CHECK_FALSE(fleet::note_statement(limit, std::nullopt, at_ms(50), at_ms(120)));
        THEN("the limit still applies")
        {
            CHECK(limit.requests_per_s == 4.0);
            CHECK_FALSE(fleet::permits_request(limit, at_ms(120)));
        }
    }
    WHEN("an answer to an earlier request states a smaller limit")
    {
        CHECK(fleet::note_statement(limit, 2.0, at_ms(50), at_ms(120)));
        CHECK(limit.requests_per_s == 2.0);
    }
    WHEN("an answer to a later request states no limit")
    {
        CHECK(fleet::note_statement(limit, std::nullopt, at_ms(110), at_ms(150)));
        CHECK(fleet::permits_request(limit, at_ms(150)));
    }
}

SCENARIO("an upstream with a rate limit is chosen only with a permit")
{
    fleet::configuration configuration;
    configuration.services = {{"desk", 0, {}}};
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a"), make_record("b")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    auto& limited = pool.upstreams.at("a").limit;
    (void)fleet::note_statement(limited, 1.0, at_ms(0), at_ms(0));
    std::vector<std::string> const tried;
    fleet::plain_requirements const need{"desk", "d", tried, ""};
    WHEN("it has none")
    {
        auto const chosen = fleet::choose_plain(pool, configuration, need, at_ms(10));
        THEN("the other one is chosen")
        {
            CHECK(chosen->id == "b");
        }
        AND_WHEN("the other one is busy")
        {
            fleet::note_request_sent(pool, "b", at_ms(10));
            CHECK(fleet::choose_plain(pool, configuration, need, at_ms(10))->id == "b");
            THEN("a permit is wanted")
            {
                CHECK(limited.permit_wanted);
            }
        }
    }
    WHEN("it has one and the other one is busy")
    {
        limited.permits = {at_ms(260)};
        fleet::note_request_sent(pool, "b", at_ms(10));
        REQUIRE(fleet::choose_plain(pool, configuration, need, at_ms(10))->id == "a");
        fleet::note_request_sent(pool, "a", at_ms(10));
        THEN("the permit is used up")
        {
            CHECK(limited.permits.empty());
            CHECK(fleet::choose_plain(pool, configuration, need, at_ms(10))->id == "b");
        }
    }
    WHEN("its permit has expired")
    {
        limited.permits = {at_ms(9)};
        fleet::note_request_sent(pool, "b", at_ms(10));
        CHECK(fleet::choose_plain(pool, configuration, need, at_ms(10))->id == "b");
    }
    WHEN("it is missing from the list and comes back")
    {
        // Guards against a limit that is forgotten while the upstream is cut off from the store.
        (void)fleet::apply_list(pool, std::vector{listed[1]}, at_ms(20));
        (void)fleet::apply_list(pool, listed, at_ms(5000));
        CHECK(pool.upstreams.at("a").limit.requests_per_s == 1.0);
    }
    WHEN("it is missing from the list and has restarted when it comes back")
    {
        auto restarted = listed;
        restarted[0].started_ms = 7;
        (void)fleet::apply_list(pool, std::vector{listed[1]}, at_ms(20));
        (void)fleet::apply_list(pool, restarted, at_ms(5000));
        CHECK_FALSE(pool.upstreams.at("a").limit.requests_per_s.has_value());
    }
    WHEN("it restarts")
    {
        auto restarted = listed;
        restarted[0].started_ms = 7;
        (void)fleet::apply_list(pool, restarted, at_ms(20));
        THEN("the limit of its earlier incarnation no longer applies")
        {
            CHECK_FALSE(pool.upstreams.at("a").limit.requests_per_s.has_value());
        }
    }
}

SCENARIO("samples spill over to upstreams of other models while the assigned ones are limited")
{
    // Guards against samples that wait for a few permits a second while other upstreams are free.
    fleet::configuration configuration;
    configuration.services = {{"desk", 0, {"m", "n"}}};
    fleet::pool pool;
    std::vector<fleet::upstream_record> listed = {make_record("a"), make_record("b")};
    listed[0].weights["m"] = 1;
    listed[1].weights["m"] = 1;
    (void)fleet::apply_list(pool, listed, at_ms(0));
    pool.shares = {{"a", "m"}, {"b", "n"}};
    fleet::sample_requirements need;
    need.service = "desk";
    need.model = "m";
    need.least_version = 1;
    REQUIRE(fleet::choose_sample(pool, configuration, need, at_ms(0))->id == "a");
    (void)fleet::note_statement(pool.upstreams.at("a").limit, 1.0, at_ms(0), at_ms(0));
    CHECK(fleet::choose_sample(pool, configuration, need, at_ms(0))->id == "b");
}

SCENARIO("a permit bucket grants no more than the upstream bears")
{
    double limit = 0;
    SUBCASE("limit of 0.5/s")
    {
        limit = 0.5;
    }
    SUBCASE("limit of 3/s")
    {
        limit = 3;
    }
    SUBCASE("limit of 40/s")
    {
        limit = 40;
    }
    auto const allowed = static_cast<int>(1.5 * limit * 4) + 5;
    WHEN("one process grants after a long pause, and permits are used late")
    {
        auto bucket = fleet::make_permit_bucket(limit, at_ms(0));
        (void)fleet::take_permit(bucket, limit, issuer_certainty::only_one, at_ms(60000));
        auto const granted =
            granted_within(bucket, limit, issuer_certainty::only_one, 60000, 64250);
        CHECK(granted <= allowed);
        CHECK(granted >= static_cast<int>(limit * 4));
    }
    WHEN("two processes grant at the same time")
    {
        auto one = fleet::make_permit_bucket(limit, at_ms(0));
        auto other = fleet::make_permit_bucket(limit, at_ms(0));
        (void)fleet::take_permit(one, limit, issuer_certainty::perhaps_two, at_ms(60000));
        (void)fleet::take_permit(other, limit, issuer_certainty::perhaps_two, at_ms(60000));
        CHECK(granted_within(one, limit, issuer_certainty::perhaps_two, 60000, 64250) +
                  granted_within(other, limit, issuer_certainty::perhaps_two, 60000, 64250) <=
              allowed);
    }
    WHEN("processes name different limits")
    {
        auto bucket = fleet::make_permit_bucket(limit, at_ms(0));
        (void)fleet::take_permit(bucket, 100 * limit, issuer_certainty::only_one, at_ms(1000));
        THEN("the smaller one applies until nobody has named it for a while")
        {
            CHECK(bucket.requests_per_s == limit);
            (void)fleet::take_permit(bucket, 100 * limit, issuer_certainty::only_one, at_ms(2500));
            CHECK(bucket.requests_per_s == 100 * limit);
        }
    }
    WHEN("the bucket is new")
    {
        // Guards against a gateway that grants what the one before it has just granted.
        auto bucket = fleet::make_permit_bucket(limit, at_ms(60000));
        CHECK_FALSE(fleet::take_permit(bucket, limit, issuer_certainty::only_one, at_ms(60000)));
    }
}
