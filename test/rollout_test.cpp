#include "property.hpp"
#include "rollout.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <queue>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time at_ms(std::int64_t milliseconds)
{
    return base::mono_time{std::chrono::milliseconds(milliseconds)};
}

rollout::waiting_sample make_waiting(std::size_t index, std::uint32_t tokens, base::mono_time due)
{
    return {"job", index, due, tokens, 0};
}

constexpr double us_per_token = 1000;

/// When the last of the samples ends on a number of slots that take them in this order.
std::int64_t last_end_ms(std::vector<rollout::waiting_sample> const& order, std::size_t slots)
{
    std::priority_queue<std::int64_t, std::vector<std::int64_t>, std::greater<>> free_at;
    for (std::size_t i = 0; i < slots; ++i)
    {
        free_at.push(0);
    }
    std::int64_t last = 0;
    for (auto const& sample : order)
    {
        auto const end = free_at.top() + static_cast<std::int64_t>(sample.tokens_left);
        free_at.pop();
        free_at.push(end);
        last = std::max(last, end);
    }
    return last;
}

} // namespace

SCENARIO("samples wait in the order of their slack")
{
    GIVEN("a step of 48 samples on 16 slots, whose longest are submitted last")
    {
        // Replays the worst step of a trainer: 10 % of the samples are eight times as long.
        std::vector<rollout::waiting_sample> step;
        for (std::size_t i = 0; i < 48; ++i)
        {
            step.push_back(make_waiting(i, i < 43 ? 600 : 4800, at_ms(7500)));
        }
        auto const as_submitted = last_end_ms(step, 16);
        WHEN("they are sorted")
        {
            rollout::sort_by_slack(step, at_ms(0), us_per_token);
            THEN("the step is whole as soon as its longest samples, and sooner than as submitted")
            {
                CHECK(last_end_ms(step, 16) == 4800);
                CHECK(as_submitted > 4800);
            }
        }
    }
    GIVEN("samples of an older job and of a newer one, and one that is late")
    {
        std::vector<rollout::waiting_sample> waiting = {make_waiting(0, 100, at_ms(500)),
                                                        make_waiting(1, 100, at_ms(9000)),
                                                        make_waiting(2, 100, at_ms(5000))};
        rollout::sort_by_slack(waiting, at_ms(1000), us_per_token);
        THEN("the older job comes first and what can't be in time last")
        {
            CHECK(waiting[0].index == 2);
            CHECK(waiting[1].index == 1);
            CHECK(waiting[2].index == 0);
        }
    }
}

SCENARIO("a sample's text is built from events in their order")
{
    rollout::sample_progress progress;
    REQUIRE(rollout::append_event(progress, {1, "a", {}}, 4));
    REQUIRE(rollout::append_event(progress, {2, "b", {}}, 5));
    THEN("it names all versions that made it")
    {
        CHECK(progress.text == "a\nb");
        CHECK(progress.versions == std::set<std::uint32_t>{4, 5});
    }
    THEN("an event that is missing or comes twice is refused and changes nothing")
    {
        CHECK_FALSE(rollout::append_event(progress, {4, "d", {}}, 5));
        CHECK_FALSE(rollout::append_event(progress, {2, "b", {}}, 5));
        CHECK(progress.text == "a\nb");
        CHECK(progress.last_event_id == 2);
    }
    WHEN("an owner leaves it to the next")
    {
        progress.complete = true;
        progress.phase = rollout::sample_phase::scoring;
        CHECK(rollout::has_resumable_text(progress));
        auto const left = rollout::decode_progress(rollout::encode_progress({{"id", progress}}));
        THEN("the next goes on after the last event")
        {
            REQUIRE(left.has_value());
            CHECK(left->at("id").text == "a\nb");
            CHECK(left->at("id").last_event_id == 2);
            CHECK(left->at("id").versions == progress.versions);
            CHECK(left->at("id").complete);
            CHECK(left->at("id").phase == rollout::sample_phase::waiting);
        }
    }
}

SCENARIO("what is stored of a job is read back as it was")
{
    rollout::job_record const record{"id", "team", "host", "/path/", base::wall_time{12us},
                                     40,   true,   "m",    7};
    auto const read = rollout::decode_job_record("id", rollout::encode(record));
    REQUIRE(read.has_value());
    CHECK(read->team == "team");
    CHECK(read->submitted_at == record.submitted_at);
    CHECK(read->samples == 40);
    CHECK(read->ended);
    CHECK(read->model == "m");
    CHECK(read->least_version == 7);

    test::check_property("results",
                         []
                         {
                             rollout::sample_result one;
                             one.id = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
                             one.done = *rc::gen::arbitrary<bool>();
                             one.text =
                                 *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
                             one.versions = {1, 2};
                             std::vector<rollout::sample_result> const stored = {one, one};
                             auto const back =
                                 rollout::decode_results(rollout::encode_results(stored));
                             RC_ASSERT(back.has_value());
                             RC_ASSERT(back->size() == 2U);
                             RC_ASSERT((*back)[1].text == one.text);
                             RC_ASSERT((*back)[1].done == one.done);
                         });
    test::check_property("damaged text is refused or read, never a crash",
                         []
                         {
                             auto text = rollout::encode(rollout::job_record{
                                 "id", "t", "h", "/", base::wall_time{}, 1, false, "m", 1});
                             auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
                             text[at] = *rc::gen::arbitrary<char>();
                             (void)rollout::decode_job_record("id", text);
                             (void)rollout::decode_results(text);
                             (void)rollout::decode_progress(text);
                         });
}
