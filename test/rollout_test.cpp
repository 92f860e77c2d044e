#include "at_ms.hpp"
#include "property.hpp"
#include "rollout.hpp"

#include <doctest/doctest.h>

using namespace gooseberrywood;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

SCENARIO("events are appended to the text of a sample in order")
{
    rollout::text_origin const origin{"engines", "v1"};
    rollout::sample_progress progress;
    REQUIRE(rollout::append_event(progress, {1, "a", {}}, 4, origin));
    REQUIRE(rollout::append_event(progress, {2, "b", {}}, 5, origin));
    THEN("all versions that generated the text are recorded")
    {
        CHECK(progress.text == "a\nb");
        CHECK(progress.versions == std::set<std::uint32_t>{4, 5});
        CHECK(progress.origin == origin);
    }
    THEN("an event after a gap and a duplicate event are rejected and change nothing")
    {
        CHECK_FALSE(rollout::append_event(progress, {4, "d", {}}, 5, origin));
        CHECK_FALSE(rollout::append_event(progress, {2, "b", {}}, 5, origin));
        CHECK(progress.text == "a\nb");
        CHECK(progress.last_event_id == 2);
    }
    WHEN("an owner saves the progress for the next owner")
    {
        progress.complete = true;
        progress.phase = rollout::sample_phase::scoring;
        CHECK(rollout::has_resumable_text(progress));
        auto const decoded = rollout::decode_progress(rollout::encode_progress({{"id", progress}}));
        THEN("the next owner can resume after the last event")
        {
            REQUIRE(decoded.has_value());
            CHECK(decoded->at("id").text == "a\nb");
            CHECK(decoded->at("id").last_event_id == 2);
            CHECK(decoded->at("id").versions == progress.versions);
            CHECK(decoded->at("id").origin == origin);
            CHECK(decoded->at("id").complete);
            CHECK(decoded->at("id").phase == rollout::sample_phase::waiting);
        }
    }
}

SCENARIO("a saved text that does not tell what generated it is not resumed")
{
    // Guards against texts that are joined from two software versions after a change of the owner.
    auto const decoded = rollout::decode_progress(
        R"({"samples":[{"id":"i","text":"a","events":1,"last_event_id":1,"versions":[4],)"
        R"("complete":false,"failed_runs":2,"failed_rewards":0}]})");
    REQUIRE(decoded.has_value());
    CHECK_FALSE(decoded->at("i").last_event_id.has_value());
    CHECK(decoded->at("i").text.empty());
    CHECK(decoded->at("i").failed_runs == 2);
}

SCENARIO("the next owner of a job counts the failed runs of a sample anew")
{
    rollout::sample_progress progress;
    CHECK_FALSE(rollout::has_failures_to_save(progress));
    GIVEN("a sample that failed before it had a text")
    {
        progress.failed_runs = 2;
        CHECK_FALSE(rollout::has_resumable_text(progress));
        THEN("its failures are saved and read back")
        {
            CHECK(rollout::has_failures_to_save(progress));
            auto const saved =
                rollout::decode_progress(rollout::encode_progress({{"s", progress}}));
            REQUIRE(saved);
            CHECK(saved->at("s").failed_runs == 2);
            CHECK(saved->at("s").phase == rollout::sample_phase::waiting);
        }
        THEN("they are not saved once the sample is finished")
        {
            progress.phase = rollout::sample_phase::finished;
            CHECK_FALSE(rollout::has_failures_to_save(progress));
        }
    }
}

SCENARIO("job records and results are decoded as they were encoded")
{
    rollout::job_record const record{"id", "team", "host", "/path/", base::wall_time{12us},
                                     40,   true,   "m",    7};
    auto const decoded = rollout::decode_job_record("id", rollout::encode(record));
    REQUIRE(decoded.has_value());
    CHECK(decoded->team == "team");
    CHECK(decoded->submitted_at == record.submitted_at);
    CHECK(decoded->samples == 40);
    CHECK(decoded->ended);
    CHECK(decoded->model == "m");
    CHECK(decoded->least_version == 7);

    test::check_property(
        "results",
        []
        {
            rollout::sample_result result;
            result.id = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
            result.done = *rc::gen::arbitrary<bool>();
            result.text = *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
            result.versions = {1, 2};
            std::vector<rollout::sample_result> const stored = {result, result};
            auto const decoded_results = rollout::decode_results(rollout::encode_results(stored));
            RC_ASSERT(decoded_results.has_value());
            RC_ASSERT(decoded_results->size() == 2U);
            RC_ASSERT((*decoded_results)[1].text == result.text);
            RC_ASSERT((*decoded_results)[1].done == result.done);
        });
    test::check_property("decoding damaged text fails or succeeds but never crashes",
                         []
                         {
                             auto text = rollout::encode(rollout::job_record{
                                 "id", "t", "h", "/", base::wall_time{}, 1, false, "m", 1});
                             auto const position = *rc::gen::inRange<std::size_t>(0, text.size());
                             text[position] = *rc::gen::arbitrary<char>();
                             (void)rollout::decode_job_record("id", text);
                             (void)rollout::decode_results(text);
                             (void)rollout::decode_progress(text);
                         });
}
