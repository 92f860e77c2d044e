#include "at_ms.hpp"
#include "fleet.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;

namespace
{

fleet::upstream_record make_record(std::string id, std::int64_t started_ms = 5,
                                   std::string address = "127.0.0.1:1")
{
    fleet::upstream_record record;
    record.id = std::move(id);
    record.service = "desk";
    record.address = std::move(address);
    record.slots = 1000;
    record.weights["m"] = 1;
    record.started_ms = started_ms;
    return record;
}

fleet::configuration make_configuration()
{
    fleet::configuration configuration;
    configuration.services = {{"desk", 0, {"m"}}};
    return configuration;
}

std::optional<fleet::chosen_upstream> choose_plain(fleet::pool& pool, base::mono_time now)
{
    static auto const configuration = make_configuration();
    std::vector<std::string> const tried;
    fleet::plain_requirements const need{"desk", "krapina", tried, ""};
    return fleet::choose_plain(pool, configuration, need, now);
}

std::optional<fleet::chosen_upstream> choose_sample(fleet::pool& pool, std::string_view preferred,
                                                    base::mono_time now)
{
    static auto const configuration = make_configuration();
    fleet::sample_requirements need;
    need.service = "desk";
    need.model = "m";
    need.least_version = 1;
    need.preferred = preferred;
    return fleet::choose_sample(pool, configuration, need, now);
}

} // namespace

SCENARIO("an upstream that states that it leaves gets no more requests")
{
    fleet::pool pool;
    auto const a = make_record("a");
    auto const b = make_record("b");
    (void)fleet::apply_list(pool, std::vector{a, b}, at_ms(0));
    auto const leaving = fleet::incarnation_of(a);
    auto const may_be_chosen = [&](base::mono_time now)
    {
        auto const chosen = choose_sample(pool, "a", now);
        return chosen && chosen->id == "a";
    };
    REQUIRE(may_be_chosen(at_ms(0)));
    CHECK(fleet::note_leaving(pool, leaving, at_ms(10)));
    CHECK_FALSE(fleet::note_leaving(pool, leaving, at_ms(11)));
    THEN("neither plain requests nor samples go there at once")
    {
        CHECK(choose_plain(pool, at_ms(12))->id == "b");
        CHECK_FALSE(may_be_chosen(at_ms(12)));
    }
    WHEN("all others are gone")
    {
        (void)fleet::apply_list(pool, std::vector{a}, at_ms(20));
        THEN("nothing is chosen")
        {
            CHECK_FALSE(choose_plain(pool, at_ms(20)).has_value());
            CHECK_FALSE(choose_sample(pool, "", at_ms(20)).has_value());
            CHECK_FALSE(fleet::has_software_version(pool, "desk", ""));
        }
    }
    WHEN("the list goes on to say that it is ready, for hours")
    {
        for (int minute = 0; minute < 180; ++minute)
        {
            (void)fleet::apply_list(pool, std::vector{a, b}, at_ms(60'000 * minute));
        }
        CHECK_FALSE(may_be_chosen(at_ms(60'000 * 180)));
    }
    WHEN("its entry expires and comes back")
    {
        // Guards against a mark that is forgotten with the entry of an upstream that does not reach
        // the store.
        (void)fleet::apply_list(pool, std::vector{b}, at_ms(20));
        (void)fleet::apply_list(pool, std::vector{a, b}, at_ms(60'000));
        CHECK_FALSE(may_be_chosen(at_ms(60'000)));
    }
    WHEN("it is kept as missing after an outage of the store and comes back")
    {
        pool.keep_missing_until = at_ms(1000);
        (void)fleet::apply_list(pool, std::vector{b}, at_ms(20));
        (void)fleet::apply_list(pool, std::vector{a, b}, at_ms(40));
        CHECK_FALSE(may_be_chosen(at_ms(40)));
    }
    WHEN("it starts again under its id")
    {
        (void)fleet::apply_list(pool, std::vector{make_record("a", 6), b}, at_ms(20));
        THEN("the new incarnation gets requests, and a late answer of the old one changes nothing")
        {
            CHECK(may_be_chosen(at_ms(20)));
            (void)fleet::note_leaving(pool, leaving, at_ms(30));
            CHECK(may_be_chosen(at_ms(30)));
        }
    }
    WHEN("it starts again at another address, and its start is unknown")
    {
        (void)fleet::apply_list(pool, std::vector{make_record("a", 5, "127.0.0.1:2"), b},
                                at_ms(20));
        CHECK(may_be_chosen(at_ms(20)));
    }
    WHEN("it has not been listed for an hour")
    {
        (void)fleet::apply_list(pool, std::vector{b}, at_ms(20));
        (void)fleet::apply_list(pool, std::vector{b}, at_ms(3'600'000));
        THEN("the mark takes no more memory")
        {
            CHECK(pool.departures.empty());
        }
    }
}

SCENARIO("an answer that arrives while the upstream is not listed marks it all the same")
{
    fleet::pool pool;
    auto const a = make_record("a");
    (void)fleet::note_leaving(pool, fleet::incarnation_of(a), at_ms(0));
    (void)fleet::apply_list(pool, std::vector{a}, at_ms(10));
    CHECK_FALSE(choose_plain(pool, at_ms(10)).has_value());
}

SCENARIO("no order of lists and answers loses the mark of a leaving upstream")
{
    test::check_property(
        "random lists and marks",
        []
        {
            fleet::pool pool;
            std::set<fleet::incarnation> marked;
            auto const steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i)
            {
                auto const now = at_ms(i * 500);
                std::vector<fleet::upstream_record> listed;
                bool has_unmarked = false;
                for (auto const* id : {"a", "b", "c"})
                {
                    if (*rc::gen::inRange(0, 3) == 0)
                    {
                        continue;
                    }
                    auto record = make_record(
                        id, *rc::gen::inRange(1, 4),
                        *rc::gen::element(std::string("127.0.0.1:1"), std::string("127.0.0.1:2")));
                    record.draining = *rc::gen::inRange(0, 5) == 0;
                    has_unmarked =
                        has_unmarked ||
                        (!record.draining && !marked.contains(fleet::incarnation_of(record)));
                    listed.push_back(record);
                }
                if (*rc::gen::inRange(0, 4) == 0)
                {
                    pool.keep_missing_until = now + std::chrono::seconds(2);
                }
                (void)fleet::apply_list(pool, listed, now);
                auto const chosen = choose_plain(pool, now);
                RC_ASSERT(chosen.has_value() == has_unmarked);
                if (!chosen)
                {
                    continue;
                }
                RC_ASSERT(!marked.contains(fleet::incarnation_of(*chosen)));
                RC_ASSERT(fleet::incarnation_of(*chosen) ==
                          fleet::incarnation_of(pool.upstreams.at(chosen->id).record));
                if (*rc::gen::inRange(0, 2) == 0)
                {
                    marked.insert(fleet::incarnation_of(*chosen));
                    (void)fleet::note_leaving(pool, fleet::incarnation_of(*chosen), now);
                    auto const next = choose_plain(pool, now);
                    // RC_ASSERT evaluates both sides of an `||`.
                    bool const is_marked = next && marked.contains(fleet::incarnation_of(*next));
                    RC_ASSERT(!is_marked);
                }
            }
        });
}
