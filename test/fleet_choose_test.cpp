#include "fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time at_ms(std::int64_t milliseconds)
{
    return base::mono_time{std::chrono::milliseconds(milliseconds)};
}

fleet::configuration make_configuration()
{
    fleet::configuration made;
    made.services = {{"engines", 18, {"m"}}, {"desk", 0, {}}};
    return made;
}

fleet::upstream_record make_record(std::string id, std::string service, std::string domain)
{
    fleet::upstream_record record;
    record.id = std::move(id);
    record.service = std::move(service);
    record.address = "127.0.0.1:1";
    record.domain = std::move(domain);
    record.slots = 2;
    record.weights["m"] = 3;
    return record;
}

fleet::sample_requirements need_of(std::uint32_t least_version)
{
    fleet::sample_requirements need;
    need.service = "engines";
    need.model = "m";
    need.least_version = least_version;
    return need;
}

} // namespace

SCENARIO("a plain request goes to the least loaded upstream")
{
    auto const in = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a", "desk", "krapina"),
                                                        make_record("b", "desk", "zabok")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    std::vector<std::string> tried;
    fleet::plain_requirements need{"desk", "zabok", tried};
    THEN("of equal ones, to that in the own failure domain")
    {
        CHECK(fleet::choose_plain(pool, in, need, at_ms(0))->id == "b");
    }
    WHEN("the near one works on a request")
    {
        fleet::note_request_sent(pool, "b", at_ms(0));
        THEN("the other one is chosen")
        {
            CHECK(fleet::choose_plain(pool, in, need, at_ms(0))->id == "a");
        }
    }
    WHEN("one of them is new and the other one is known to be quick")
    {
        // Guards against a burst that goes to a fresh upstream alone, because no time was measured.
        fleet::note_answer_time(pool, "a", 25ms, at_ms(0));
        int to_fresh = 0;
        for (int i = 0; i < 4; ++i)
        {
            auto const id = fleet::choose_plain(pool, in, need, at_ms(0))->id;
            fleet::note_request_sent(pool, id, at_ms(0));
            to_fresh += id == "b" ? 1 : 0;
        }
        THEN("they share the requests")
        {
            CHECK(to_fresh == 2);
        }
    }
    WHEN("one of them was slow a while ago")
    {
        fleet::note_answer_time(pool, "a", 25ms, at_ms(0));
        fleet::note_answer_time(pool, "b", 900ms, at_ms(0));
        THEN("it gets work again later")
        {
            CHECK(fleet::choose_plain(pool, in, need, at_ms(1000))->id == "a");
            fleet::discard_stale_means(pool, at_ms(5000));
            CHECK(fleet::choose_plain(pool, in, need, at_ms(5000))->id == "b");
        }
    }
    WHEN("it was tried there already")
    {
        tried = {"b"};
        need.tried = tried;
        THEN("it goes elsewhere, and nowhere when no other is left")
        {
            CHECK(fleet::choose_plain(pool, in, need, at_ms(0))->id == "a");
            tried.push_back("a");
            need.tried = tried;
            CHECK_FALSE(fleet::choose_plain(pool, in, need, at_ms(0)).has_value());
        }
    }
    WHEN("a failure domain is taken out")
    {
        pool.domains_out.insert("zabok");
        THEN("its upstreams get nothing")
        {
            CHECK(fleet::choose_plain(pool, in, need, at_ms(0))->id == "a");
        }
    }
    WHEN("an upstream drains")
    {
        auto draining = listed;
        draining[1].draining = true;
        (void)fleet::apply_list(pool, draining, at_ms(0));
        THEN("it gets nothing")
        {
            CHECK(fleet::choose_plain(pool, in, need, at_ms(0))->id == "a");
        }
    }
}

SCENARIO("a cold upstream gets no more than its share of what it bears")
{
    auto const in = make_configuration();
    fleet::pool pool;
    pool.sharing_processes = 4;
    auto cold = make_record("a", "engines", "krapina");
    cold.slots = 1000;
    cold.cold_until = at_ms(60'000);
    (void)fleet::apply_list(pool, std::vector{cold}, at_ms(0));
    int sent = 0;
    for (int ms = 0; ms < 1000; ++ms)
    {
        if (auto const chosen = fleet::choose_sample(pool, in, need_of(1), at_ms(ms)))
        {
            fleet::note_request_sent(pool, chosen->id, at_ms(ms));
            ++sent;
        }
    }
    // 18 a second over 4 processes, and one at once.
    CHECK(sent >= 4);
    CHECK(sent <= 6);
}

SCENARIO("a sample is placed by weights, prompt and speed")
{
    auto const in = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> listed = {make_record("a", "engines", "krapina"),
                                                  make_record("b", "engines", "zabok"),
                                                  make_record("c", "engines", "zabok")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    WHEN("no upstream holds weights that are new enough")
    {
        THEN("one that lags by one version is asked with the version expected")
        {
            auto const chosen = fleet::choose_sample(pool, in, need_of(4), at_ms(0));
            REQUIRE(chosen.has_value());
            CHECK(chosen->expected_version == 4);
        }
        THEN("by one sample at a time")
        {
            for (auto const* id : {"a", "b", "c"})
            {
                fleet::note_sample_sent(pool, id, at_ms(0));
            }
            CHECK_FALSE(fleet::choose_sample(pool, in, need_of(4), at_ms(0)).has_value());
        }
        THEN("not again for a while once it has said no, and it keeps its places for other samples")
        {
            // Guards against asking upstreams that follow another model again and again.
            for (auto const* id : {"a", "b", "c"})
            {
                fleet::note_weights_missing(pool, id, at_ms(0));
            }
            CHECK_FALSE(fleet::choose_sample(pool, in, need_of(4), at_ms(500)).has_value());
            CHECK(fleet::choose_sample(pool, in, need_of(3), at_ms(500)).has_value());
            CHECK(fleet::choose_sample(pool, in, need_of(4), at_ms(1500)).has_value());
        }
        THEN("those that lag further are not asked")
        {
            CHECK_FALSE(fleet::choose_sample(pool, in, need_of(5), at_ms(0)).has_value());
        }
    }
    WHEN("the group's prompt was read by one of them")
    {
        auto need = need_of(3);
        need.preferred = "c";
        THEN("it goes there while there is a place")
        {
            CHECK(fleet::choose_sample(pool, in, need, at_ms(0))->id == "c");
            fleet::note_request_sent(pool, "c", at_ms(0));
            fleet::note_request_sent(pool, "c", at_ms(0));
            CHECK(fleet::choose_sample(pool, in, need, at_ms(0))->id != "c");
        }
        THEN("not while that one is slow")
        {
            for (auto const* id : {"a", "b"})
            {
                fleet::note_event_interval(pool, id, 35ms, at_ms(0));
            }
            fleet::note_event_interval(pool, "c", 140ms, at_ms(0));
            CHECK(fleet::choose_sample(pool, in, need, at_ms(0))->id != "c");
        }
    }
    WHEN("an upstream refuses samples, as while it loads weights")
    {
        // Guards against the storm in which every waiting sample learnt the same from each
        // upstream.
        fleet::note_sample_refused(pool, "a", at_ms(0));
        THEN("it gets none for a moment, then one until one runs")
        {
            auto need = need_of(3);
            need.preferred = "a";
            CHECK(fleet::choose_sample(pool, in, need, at_ms(1))->id != "a");
            CHECK(fleet::choose_sample(pool, in, need, at_ms(300))->id == "a");
            fleet::note_sample_sent(pool, "a", at_ms(300));
            CHECK(fleet::choose_sample(pool, in, need, at_ms(301))->id != "a");
            fleet::note_sample_answered(pool, "a");
            fleet::note_sample_started(pool, "a");
            CHECK(fleet::choose_sample(pool, in, need, at_ms(302))->id == "a");
        }
    }
}

SCENARIO("a long sample leaves an upstream that turned slow")
{
    // Replays a step whose longest samples run while a fifth of the upstreams turn four times
    // slower.
    auto const in = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a", "engines", "krapina"),
                                                        make_record("b", "engines", "zabok"),
                                                        make_record("c", "engines", "zabok")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    for (auto const* id : {"b", "c"})
    {
        fleet::note_event_interval(pool, id, 35ms, at_ms(0));
    }
    auto need = need_of(3);
    need.avoided = "a";
    WHEN("it is as fast as the others")
    {
        fleet::note_event_interval(pool, "a", 38ms, at_ms(0));
        THEN("the sample stays")
        {
            CHECK_FALSE(fleet::should_move_sample(pool, in, "a", need, at_ms(0)));
        }
    }
    WHEN("it is four times slower")
    {
        fleet::note_event_interval(pool, "a", 140ms, at_ms(0));
        THEN("the sample leaves")
        {
            CHECK(fleet::should_move_sample(pool, in, "a", need, at_ms(0)));
        }
        AND_WHEN("the others have no place")
        {
            for (auto const* id : {"b", "c"})
            {
                fleet::note_request_sent(pool, id, at_ms(0));
                fleet::note_request_sent(pool, id, at_ms(0));
            }
            THEN("the sample stays")
            {
                CHECK_FALSE(fleet::should_move_sample(pool, in, "a", need, at_ms(0)));
            }
        }
    }
}

SCENARIO("the steps of several trainers arrive at once, each at another process")
{
    // Replays eight steps of 72 samples for 92 engines of six slots. Processes that chose among all
    // engines learned of each other's load by refusals only: a third of all arrivals was refused.
    constexpr int processes = 8;
    constexpr int samples = 72;
    constexpr std::uint32_t slots = 6;
    fleet::configuration in;
    in.services = {{"engines", 0, {}}};
    std::vector<fleet::upstream_record> listed;
    fleet::model_shares shares;
    for (int i = 0; i < 92; ++i)
    {
        auto record = make_record("u" + std::to_string(i), "engines", "d" + std::to_string(i % 5));
        record.slots = slots;
        for (int model = 0; model < processes; ++model)
        {
            record.weights["m" + std::to_string(model)] = 1;
        }
        listed.push_back(record);
        shares[record.id] = "m" + std::to_string(i % processes);
    }
    auto const largest_load = [&](fleet::model_shares const& with)
    {
        std::map<std::string, std::uint32_t> load;
        for (int process = 0; process < processes; ++process)
        {
            fleet::pool pool;
            pool.shares = with;
            (void)fleet::apply_list(pool, listed, at_ms(0));
            auto const model = "m" + std::to_string(process);
            for (int i = 0; i < samples; ++i)
            {
                fleet::sample_requirements const need{"engines", model, 1, "", ""};
                if (auto const chosen = fleet::choose_sample(pool, in, need, at_ms(0)))
                {
                    fleet::note_sample_sent(pool, chosen->id, at_ms(0));
                    ++load[chosen->id];
                }
            }
        }
        std::uint32_t largest = 0;
        for (auto const& [id, count] : load)
        {
            largest = std::max(largest, count);
        }
        return largest;
    };
    THEN("with shares no engine gets more than it has slots for")
    {
        CHECK(largest_load(shares) <= slots);
    }
    THEN("without them some do")
    {
        CHECK(largest_load({}) > slots);
    }
    WHEN("no engine of a model's share lives")
    {
        fleet::pool pool;
        pool.shares = shares;
        for (auto& [id, model] : pool.shares)
        {
            model = "m1";
        }
        (void)fleet::apply_list(pool, listed, at_ms(0));
        THEN("its samples take the others that have the weights")
        {
            fleet::sample_requirements const need{"engines", "m0", 1, "", ""};
            CHECK(fleet::choose_sample(pool, in, need, at_ms(0)).has_value());
        }
    }
}

SCENARIO("a process is told that an upstream loads weights")
{
    // Guards against samples that a loading upstream refuses, and against upstreams that stand idle
    // until the list shows their new weights, up to two seconds late.
    auto const in = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a", "engines", "krapina")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    fleet::note_load_order(pool, "a", {"m", 5, at_ms(900)});
    THEN("it gets no sample while it loads, not even one that its old weights could generate")
    {
        CHECK_FALSE(fleet::choose_sample(pool, in, need_of(3), at_ms(899)).has_value());
    }
    THEN("it gets samples that need the new weights as soon as it should have them")
    {
        auto const chosen = fleet::choose_sample(pool, in, need_of(5), at_ms(900));
        REQUIRE(chosen.has_value());
        CHECK(chosen->expected_version == 5);
        fleet::note_sample_sent(pool, "a", at_ms(900));
        CHECK(fleet::choose_sample(pool, in, need_of(4), at_ms(900)).has_value());
    }
    WHEN("it does not have them then")
    {
        fleet::note_weights_missing(pool, "a", at_ms(900));
        THEN("it is asked again after a second")
        {
            CHECK_FALSE(fleet::choose_sample(pool, in, need_of(5), at_ms(1800)).has_value());
            CHECK(fleet::choose_sample(pool, in, need_of(5), at_ms(1900)).has_value());
            CHECK(fleet::choose_sample(pool, in, need_of(3), at_ms(900)).has_value());
        }
    }
    WHEN("it has restarted")
    {
        auto restarted = listed;
        restarted[0].started_ms = 1;
        (void)fleet::apply_list(pool, restarted, at_ms(950));
        THEN("the announcement counts no more")
        {
            CHECK_FALSE(fleet::choose_sample(pool, in, need_of(5), at_ms(1000)).has_value());
        }
    }
}
