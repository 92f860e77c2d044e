#include "at_ms.hpp"
#include "fleet.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

fleet::configuration make_configuration()
{
    fleet::configuration configuration;
    configuration.services = {{"engines", 18, {"m"}}, {"desk", 0, {}}};
    return configuration;
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

fleet::sample_requirements for_version(std::uint32_t least_version)
{
    fleet::sample_requirements requirements;
    requirements.service = "engines";
    requirements.model = "m";
    requirements.least_version = least_version;
    return requirements;
}

} // namespace

SCENARIO("a plain request goes to the least loaded upstream")
{
    auto const config = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a", "desk", "krapina"),
                                                        make_record("b", "desk", "zabok")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    std::vector<std::string> tried;
    fleet::plain_requirements requirements{"desk", "zabok", tried, ""};
    THEN("among equally loaded ones, the one in the own failure domain is chosen")
    {
        CHECK(fleet::choose_plain(pool, config, requirements, at_ms(0))->id == "b");
    }
    WHEN("the upstream in the own failure domain has a request in progress")
    {
        fleet::note_request_sent(pool, "b", at_ms(0));
        THEN("the other upstream is chosen")
        {
            CHECK(fleet::choose_plain(pool, config, requirements, at_ms(0))->id == "a");
        }
    }
    WHEN("one upstream is new and the other one is known to be fast")
    {
        // Guards against sending a whole burst to a new upstream because it has no measured time.
        fleet::note_answer_time(pool, "a", 25ms, at_ms(0));
        int to_new = 0;
        for (int i = 0; i < 4; ++i)
        {
            auto const id = fleet::choose_plain(pool, config, requirements, at_ms(0))->id;
            fleet::note_request_sent(pool, id, at_ms(0));
            to_new += id == "b" ? 1 : 0;
        }
        THEN("they share the requests")
        {
            CHECK(to_new == 2);
        }
    }
    WHEN("one upstream was slow some seconds ago")
    {
        fleet::note_answer_time(pool, "a", 25ms, at_ms(0));
        fleet::note_answer_time(pool, "b", 900ms, at_ms(0));
        THEN("it gets requests again once its measurement is stale")
        {
            CHECK(fleet::choose_plain(pool, config, requirements, at_ms(1000))->id == "a");
            fleet::discard_stale_means(pool, at_ms(5000));
            CHECK(fleet::choose_plain(pool, config, requirements, at_ms(5000))->id == "b");
        }
    }
    WHEN("an earlier try used one upstream")
    {
        tried = {"b"};
        requirements.tried = tried;
        THEN("the other one is chosen, and none when both were tried")
        {
            CHECK(fleet::choose_plain(pool, config, requirements, at_ms(0))->id == "a");
            tried.push_back("a");
            requirements.tried = tried;
            CHECK_FALSE(fleet::choose_plain(pool, config, requirements, at_ms(0)).has_value());
        }
    }
    WHEN("a failure domain is out of service")
    {
        pool.domains_out.insert("zabok");
        THEN("its upstreams get no requests")
        {
            CHECK(fleet::choose_plain(pool, config, requirements, at_ms(0))->id == "a");
        }
    }
    WHEN("an upstream is draining")
    {
        auto draining = listed;
        draining[1].draining = true;
        (void)fleet::apply_list(pool, draining, at_ms(0));
        THEN("it gets no requests")
        {
            CHECK(fleet::choose_plain(pool, config, requirements, at_ms(0))->id == "a");
        }
    }
}

SCENARIO("a process sends a cold upstream no more than its share of the rate limit")
{
    auto const config = make_configuration();
    fleet::pool pool;
    pool.sharing_processes = 4;
    auto cold = make_record("a", "engines", "krapina");
    cold.slots = 1000;
    cold.cold_until = at_ms(60'000);
    (void)fleet::apply_list(pool, std::vector{cold}, at_ms(0));
    int sent = 0;
    for (int ms = 0; ms < 1000; ++ms)
    {
        if (auto const chosen = fleet::choose_sample(pool, config, for_version(1), at_ms(ms)))
        {
            fleet::note_request_sent(pool, chosen->id, at_ms(ms));
            ++sent;
        }
    }
    // 18 requests per second divided among 4 processes, and a burst of one.
    CHECK(sent >= 4);
    CHECK(sent <= 6);
}

SCENARIO("the upstream for a sample is chosen by weights, prompt and speed")
{
    auto const config = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> listed = {make_record("a", "engines", "krapina"),
                                                  make_record("b", "engines", "zabok"),
                                                  make_record("c", "engines", "zabok")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    WHEN("no upstream is known to have weights that are new enough")
    {
        THEN("an upstream that lags by one version is probed with the expected version")
        {
            auto const chosen = fleet::choose_sample(pool, config, for_version(4), at_ms(0));
            REQUIRE(chosen.has_value());
            CHECK(chosen->expected_version == 4);
        }
        THEN("each upstream is probed by one sample at a time")
        {
            for (auto const* id : {"a", "b", "c"})
            {
                fleet::note_sample_sent(pool, id, at_ms(0));
            }
            CHECK_FALSE(fleet::choose_sample(pool, config, for_version(4), at_ms(0)).has_value());
        }
        THEN("after a negative answer it is not probed for a while, but gets other samples")
        {
            // Guards against probing upstreams that are assigned to another model repeatedly.
            for (auto const* id : {"a", "b", "c"})
            {
                fleet::note_weights_missing(pool, id, at_ms(0));
            }
            CHECK_FALSE(fleet::choose_sample(pool, config, for_version(4), at_ms(500)).has_value());
            CHECK(fleet::choose_sample(pool, config, for_version(3), at_ms(500)).has_value());
            CHECK(fleet::choose_sample(pool, config, for_version(4), at_ms(1500)).has_value());
        }
        THEN("upstreams that lag by more than one version are not probed")
        {
            CHECK_FALSE(fleet::choose_sample(pool, config, for_version(5), at_ms(0)).has_value());
        }
    }
    WHEN("one upstream has already processed the prompt of the group")
    {
        auto requirements = for_version(3);
        requirements.preferred = "c";
        THEN("the sample goes there while it has a free slot")
        {
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0))->id == "c");
            fleet::note_request_sent(pool, "c", at_ms(0));
            fleet::note_request_sent(pool, "c", at_ms(0));
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0))->id != "c");
        }
        THEN("the sample does not go there while it is slow")
        {
            for (auto const* id : {"a", "b"})
            {
                fleet::note_event_interval(pool, id, 35ms, at_ms(0));
            }
            fleet::note_event_interval(pool, "c", 140ms, at_ms(0));
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0))->id != "c");
        }
    }
    WHEN("an upstream refuses a sample, as it does while it loads weights")
    {
        // Guards against a storm in which every waiting sample is sent to, and refused by, each
        // upstream.
        fleet::note_sample_refused(pool, "a", at_ms(0));
        THEN("it gets no samples for a short time, and then one at a time until one runs")
        {
            auto requirements = for_version(3);
            requirements.preferred = "a";
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(1))->id != "a");
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(300))->id == "a");
            fleet::note_sample_sent(pool, "a", at_ms(300));
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(301))->id != "a");
            fleet::note_sample_answered(pool, "a");
            fleet::note_sample_started(pool, "a");
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(302))->id == "a");
        }
    }
}

SCENARIO("a long sample moves away from an upstream that has become slow")
{
    // Guards against steps whose longest samples stay on upstreams that have become slow: a fifth
    // of the upstreams become four times slower while these samples run.
    auto const config = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a", "engines", "krapina"),
                                                        make_record("b", "engines", "zabok"),
                                                        make_record("c", "engines", "zabok")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    for (auto const* id : {"b", "c"})
    {
        fleet::note_event_interval(pool, id, 35ms, at_ms(0));
    }
    auto requirements = for_version(3);
    requirements.avoided = "a";
    WHEN("the upstream is about as fast as the others")
    {
        fleet::note_event_interval(pool, "a", 38ms, at_ms(0));
        THEN("the sample stays")
        {
            CHECK_FALSE(fleet::choose_move(pool, config, "a", requirements, at_ms(0)).has_value());
        }
    }
    WHEN("the upstream is four times slower than the others")
    {
        fleet::note_event_interval(pool, "a", 140ms, at_ms(0));
        THEN("the sample moves")
        {
            CHECK(fleet::choose_move(pool, config, "a", requirements, at_ms(0)).has_value());
        }
        AND_WHEN("the others have no free slot")
        {
            for (auto const* id : {"b", "c"})
            {
                fleet::note_request_sent(pool, id, at_ms(0));
                fleet::note_request_sent(pool, id, at_ms(0));
            }
            THEN("the sample stays")
            {
                CHECK_FALSE(
                    fleet::choose_move(pool, config, "a", requirements, at_ms(0)).has_value());
            }
        }
    }
}

SCENARIO("the steps of several trainers arrive at once, each at a different process")
{
    // Regression test: eight steps of 72 samples for 92 engines with six slots each. When processes
    // chose among all engines, they learned of each other's load only through refusals, and a third
    // of the samples sent was refused.
    constexpr int processes = 8;
    constexpr int samples = 72;
    constexpr std::uint32_t slots = 6;
    fleet::configuration config;
    config.services = {{"engines", 0, {}}};
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
    auto const largest_load = [&](fleet::model_shares const& model_shares)
    {
        std::map<std::string, std::uint32_t> load;
        for (int process = 0; process < processes; ++process)
        {
            fleet::pool pool;
            pool.shares = model_shares;
            (void)fleet::apply_list(pool, listed, at_ms(0));
            auto const model = "m" + std::to_string(process);
            for (int i = 0; i < samples; ++i)
            {
                fleet::sample_requirements const requirements{"engines", model, 1, "", "", ""};
                if (auto const chosen = fleet::choose_sample(pool, config, requirements, at_ms(0)))
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
    THEN("with shares no engine gets more samples than it has slots")
    {
        CHECK(largest_load(shares) <= slots);
    }
    THEN("without shares some engines do")
    {
        CHECK(largest_load({}) > slots);
    }
    WHEN("no engine is assigned to a model")
    {
        fleet::pool pool;
        pool.shares = shares;
        for (auto& [id, model] : pool.shares)
        {
            model = "m1";
        }
        (void)fleet::apply_list(pool, listed, at_ms(0));
        THEN("its samples use other engines that have the weights")
        {
            fleet::sample_requirements const requirements{"engines", "m0", 1, "", "", ""};
            CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0)).has_value());
        }
    }
}

SCENARIO("a process learns that an upstream was ordered to load weights")
{
    // Guards against samples that a loading upstream refuses, and against upstreams that are idle
    // until the list shows their new weights, with a delay of up to two seconds.
    auto const config = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a", "engines", "krapina")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    fleet::note_load_order(pool, "a", {"m", 5, at_ms(900)});
    THEN("it gets no sample while it loads, not even one that accepts its old weights")
    {
        CHECK_FALSE(fleet::choose_sample(pool, config, for_version(3), at_ms(899)).has_value());
    }
    THEN("it gets samples that need the new weights as soon as the load should have finished")
    {
        auto const chosen = fleet::choose_sample(pool, config, for_version(5), at_ms(900));
        REQUIRE(chosen.has_value());
        CHECK(chosen->expected_version == 5);
        fleet::note_sample_sent(pool, "a", at_ms(900));
        CHECK(fleet::choose_sample(pool, config, for_version(4), at_ms(900)).has_value());
    }
    WHEN("it does not have them at that time")
    {
        fleet::note_weights_missing(pool, "a", at_ms(900));
        THEN("it is probed again after a second")
        {
            CHECK_FALSE(
                fleet::choose_sample(pool, config, for_version(5), at_ms(1800)).has_value());
            CHECK(fleet::choose_sample(pool, config, for_version(5), at_ms(1900)).has_value());
            CHECK(fleet::choose_sample(pool, config, for_version(3), at_ms(900)).has_value());
        }
    }
    WHEN("it has restarted")
    {
        auto restarted = listed;
        restarted[0].started_ms = 1;
        (void)fleet::apply_list(pool, restarted, at_ms(950));
        THEN("the announcement is discarded")
        {
            CHECK_FALSE(
                fleet::choose_sample(pool, config, for_version(5), at_ms(1000)).has_value());
        }
    }
}

SCENARIO("a sample goes back to the upstream that it left when no other one can take it")
{
    // Guards against samples that are never run again after upstreams crashed under them.
    auto const config = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> const listed = {make_record("a", "engines", "krapina"),
                                                        make_record("b", "engines", "zabok")};
    (void)fleet::apply_list(pool, listed, at_ms(0));
    auto requirements = for_version(3);
    requirements.avoided = "a";
    CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0))->id == "b");
    WHEN("the other one is assigned to another model")
    {
        pool.shares = {{"a", "m"}, {"b", "n"}};
        REQUIRE(fleet::choose_sample(pool, config, requirements, at_ms(0)).has_value());
        CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0))->id == "a");
    }
    WHEN("the other one is gone")
    {
        (void)fleet::apply_list(pool, std::vector{listed[0]}, at_ms(10));
        REQUIRE(fleet::choose_sample(pool, config, requirements, at_ms(10)).has_value());
        CHECK(fleet::choose_sample(pool, config, requirements, at_ms(10))->id == "a");
    }
    WHEN("it was preferred, since it has read the prompt of the group")
    {
        requirements.preferred = "a";
        CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0))->id == "b");
    }
}

SCENARIO("a text is continued only by upstreams of the software version that began it")
{
    auto const config = make_configuration();
    fleet::pool pool;
    std::vector<fleet::upstream_record> listed = {make_record("a", "engines", "krapina"),
                                                  make_record("b", "engines", "zabok")};
    listed[0].software_version = "v1";
    listed[1].software_version = "v2";
    (void)fleet::apply_list(pool, listed, at_ms(0));
    auto requirements = for_version(3);
    requirements.software_version = "v1";
    CHECK(fleet::choose_sample(pool, config, requirements, at_ms(0))->id == "a");
    WHEN("the upstream of that version is slow and busy")
    {
        fleet::note_event_interval(pool, "a", 140ms, at_ms(0));
        fleet::note_event_interval(pool, "b", 10ms, at_ms(0));
        fleet::note_request_sent(pool, "a", at_ms(0));
        fleet::note_request_sent(pool, "a", at_ms(0));
        THEN("none is chosen, and the sample does not move")
        {
            CHECK_FALSE(fleet::choose_sample(pool, config, requirements, at_ms(0)).has_value());
            CHECK_FALSE(fleet::choose_move(pool, config, "a", requirements, at_ms(0)).has_value());
            CHECK(fleet::has_software_version(pool, "engines", "v1"));
        }
    }
    WHEN("the upstream of that version is leaving")
    {
        listed[0].draining = true;
        (void)fleet::apply_list(pool, listed, at_ms(10));
        THEN("no upstream of that version serves")
        {
            CHECK_FALSE(fleet::has_software_version(pool, "engines", "v1"));
            CHECK_FALSE(fleet::choose_sample(pool, config, requirements, at_ms(10)).has_value());
        }
    }
}
