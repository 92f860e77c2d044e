#include "at_ms.hpp"
#include "fleet.hpp"
#include "rollout/crash_mark_entry.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

using namespace gooseberrywood;
using namespace gooseberrywood::fleet;
using gooseberrywood::test::at_ms;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t request = 7;
constexpr std::uint64_t other_request = 8;
constexpr std::int64_t started_ms = 1000;

void break_off(crash_marks& marks, std::string const& upstream, std::int64_t now_ms)
{
    note_broken_run(marks, request, upstream, started_ms, at_ms(now_ms));
}

bool is_refused(crash_marks const& marks, std::int64_t now_ms)
{
    return refused_until(marks, request, at_ms(now_ms)).has_value();
}

void review(crash_marks& marks, incarnation_state state, std::int64_t read_at_ms)
{
    review_crash_marks(
        marks, [&](std::string_view, std::int64_t) { return state; }, at_ms(read_at_ms),
        at_ms(read_at_ms));
}

std::vector<crash_notice> take(crash_marks& marks, std::int64_t now_ms, std::size_t max_count = 32)
{
    return take_marks_to_share(marks, max_count, at_ms(now_ms + 600), at_ms(now_ms));
}

crash_mark_id mark_id(std::string const& upstream, std::uint32_t number = 0)
{
    return {request, crash_of(upstream, started_ms, number)};
}

} // namespace

SCENARIO("equal requests are refused from the third upstream on that ended under them")
{
    crash_marks marks;
    break_off(marks, "a", 0);
    break_off(marks, "b", 100);
    GIVEN("two marks")
    {
        THEN("they are shared at once")
        {
            CHECK(take(marks, 100).size() == 2);
        }
        // Guards against a crash that several tries saw and that counts several times.
        break_off(marks, "b", 120);
        CHECK(count_crashes(marks, request, at_ms(130)) == 2);
        CHECK_FALSE(is_refused(marks, 130));
        WHEN("the second upstream ends again after it has restarted")
        {
            note_broken_run(marks, request, "b", started_ms + 1, at_ms(200));
            CHECK(is_refused(marks, 200));
        }
    }
    GIVEN("a third mark")
    {
        break_off(marks, "c", 200);
        THEN("equal requests are refused until the first mark expires, others are not")
        {
            CHECK(refused_until(marks, request, at_ms(300)) == at_ms(0) + crash_mark_lifetime);
            CHECK_FALSE(refused_until(marks, other_request, at_ms(300)));
            CHECK_FALSE(refused_until(marks, request, at_ms(0) + crash_mark_lifetime));
        }
        THEN("a fourth mark prolongs the refusal")
        {
            break_off(marks, "d", 300);
            CHECK(refused_until(marks, request, at_ms(300)) == at_ms(100) + crash_mark_lifetime);
        }
        WHEN("an upstream serves the request")
        {
            note_answered_request(marks, request, at_ms(400));
            CHECK_FALSE(is_refused(marks, 400));
            THEN("nobody is told of marks that were not shared")
            {
                CHECK(take(marks, 1000).empty());
            }
            THEN("five further crashes are needed here, also of the same incarnations")
            {
                // Guards against a withdrawn mark that hides the true end of its incarnation, and
                // against innocent requests that are refused as they ran beside others.
                for (auto const* const upstream : {"a", "b", "c", "d"})
                {
                    break_off(marks, upstream, 500);
                }
                CHECK(count_crashes(marks, request, at_ms(500)) == 4);
                CHECK_FALSE(is_refused(marks, 500));
                break_off(marks, "e", 500);
                CHECK(refused_until(marks, request, at_ms(500)) ==
                      at_ms(500) + crash_mark_lifetime);
            }
            THEN("three are needed elsewhere, and a gateway that has served it lately ends that")
            {
                crash_marks elsewhere;
                break_off(elsewhere, "a", 500);
                break_off(elsewhere, "b", 500);
                break_off(elsewhere, "c", 500);
                CHECK(is_refused(elsewhere, 500));
                for (auto const& notice : take(elsewhere, 500))
                {
                    apply_notice(marks, notice, at_ms(600));
                }
                CHECK_FALSE(is_refused(marks, 600));
                note_answered_request(marks, request, at_ms(700));
                for (auto const& notice : take(marks, 700))
                {
                    apply_notice(elsewhere, notice, at_ms(800));
                }
                CHECK_FALSE(is_refused(elsewhere, 800));
            }
        }
    }
}

SCENARIO("an upstream whose connection broke proves to be alive")
{
    crash_marks marks;
    break_off(marks, "a", 1000);
    WHEN("it answers a request that was sent before")
    {
        note_upstream_alive(marks, "a", at_ms(900), at_ms(1100));
        review(marks, incarnation_state::listed, 9000);
        CHECK(count_crashes(marks, request, at_ms(9000)) == 1);
    }
    WHEN("it answers a request that was sent later")
    {
        note_upstream_alive(marks, "a", at_ms(1100), at_ms(1200));
        THEN("the mark stands while the list may not show a restart yet")
        {
            review(marks, incarnation_state::listed, 6100);
            CHECK(count_crashes(marks, request, at_ms(6100)) == 1);
        }
        THEN("the mark is withdrawn when a later list shows the same incarnation")
        {
            review(marks, incarnation_state::listed, 6500);
            CHECK(count_crashes(marks, request, at_ms(6500)) == 0);
            CHECK(marks.undecided.empty());
        }
        THEN("the mark stands when the list shows another incarnation")
        {
            review(marks, incarnation_state::gone, 2500);
            review(marks, incarnation_state::listed, 6500);
            CHECK(count_crashes(marks, request, at_ms(6500)) == 1);
        }
        THEN("a list after an outage of the store, on which it is missing, decides nothing")
        {
            review(marks, incarnation_state::missing, 6500);
            CHECK(count_crashes(marks, request, at_ms(6500)) == 1);
            review(marks, incarnation_state::listed, 7000);
            CHECK(count_crashes(marks, request, at_ms(7000)) == 0);
        }
    }
    WHEN("its start time is unknown, so that no list can tell a restart")
    {
        note_broken_run(marks, other_request, "b", 0, at_ms(1000));
        note_upstream_alive(marks, "b", at_ms(1100), at_ms(1200));
        review(marks, incarnation_state::listed, 9000);
        CHECK(count_crashes(marks, other_request, at_ms(9000)) == 1);
    }
}

SCENARIO("a request ends without an answer while its connection stands")
{
    crash_marks marks;
    note_unanswered_run(marks, request, "a", started_ms, at_ms(0));
    CHECK(count_crashes(marks, request, at_ms(0)) == 0);
    CHECK_FALSE(next_share_at(marks));
    WHEN("the list shows soon that the upstream has ended")
    {
        review(marks, incarnation_state::gone, 6000);
        THEN("it counts, and the others are told")
        {
            CHECK(count_crashes(marks, request, at_ms(6000)) == 1);
            CHECK(next_share_at(marks));
        }
    }
    WHEN("the upstream is leaving")
    {
        // Guards against marks for upstreams that were stopped as planned.
        review(marks, incarnation_state::leaving, 1000);
        review(marks, incarnation_state::gone, 6000);
        CHECK(count_crashes(marks, request, at_ms(6000)) == 0);
    }
    WHEN("the upstream ends much later")
    {
        review(marks, incarnation_state::gone, 10'000);
        CHECK(count_crashes(marks, request, at_ms(10'000)) == 0);
        CHECK(marks.by_id.empty());
    }
    WHEN("it is missing only because the store was unavailable")
    {
        review(marks, incarnation_state::missing, 3000);
        CHECK(count_crashes(marks, request, at_ms(3000)) == 0);
    }
}

SCENARIO("gateways share what they have seen")
{
    crash_marks here;
    break_off(here, "a", 0);
    REQUIRE(next_share_at(here) == at_ms(300));
    CHECK(take(here, 200).empty());
    auto const notices = take(here, 300);
    REQUIRE(notices.size() == 1);
    crash_marks there;
    apply_notice(there, notices[0], at_ms(400));
    CHECK(count_crashes(there, request, at_ms(400)) == 1);
    WHEN("the store does not confirm")
    {
        THEN("the notice is due again, and is sent directly after tries 1, 2 and 4")
        {
            CHECK(next_share_at(here) == at_ms(900));
            CHECK(is_sent_directly(here, notices[0].id));
            CHECK(take(here, 900).size() == 1);
            CHECK(is_sent_directly(here, notices[0].id));
            CHECK(take(here, 1500).size() == 1);
            CHECK_FALSE(is_sent_directly(here, notices[0].id));
            CHECK(take(here, 2100).size() == 1);
            CHECK(is_sent_directly(here, notices[0].id));
        }
    }
    WHEN("the store confirms")
    {
        note_stored(here, notices[0], at_ms(400));
        CHECK_FALSE(next_share_at(here));
        THEN("it is shared again when the store has lost it")
        {
            // Guards against leases that run out while the store is down.
            apply_stored_notices(here, {}, at_ms(350), at_ms(500));
            CHECK_FALSE(next_share_at(here));
            apply_stored_notices(here, {}, at_ms(450), at_ms(500));
            CHECK(next_share_at(here) == at_ms(500));
            CHECK(count_crashes(here, request, at_ms(500)) == 1);
        }
        THEN("the other gateway remembers it without the store, and does not write it")
        {
            apply_stored_notices(there, {}, at_ms(500), at_ms(600));
            CHECK(count_crashes(there, request, at_ms(600)) == 1);
            CHECK_FALSE(next_share_at(there));
        }
    }
    WHEN("the other gateway sees the request served")
    {
        note_answered_request(there, request, at_ms(450));
        auto const withdrawal = take(there, 450);
        REQUIRE(withdrawal.size() == 1);
        CHECK(withdrawal[0].state == crash_mark_state::withdrawn);
        THEN("the withdrawal reaches the first one and ends what it still wanted to share")
        {
            apply_notice(here, withdrawal[0], at_ms(500));
            CHECK(count_crashes(here, request, at_ms(500)) == 0);
            CHECK_FALSE(next_share_at(here));
            CHECK(here.undecided.empty());
        }
        THEN("a mark that arrives late does not take it back")
        {
            apply_notice(there, notices[0], at_ms(500));
            CHECK(count_crashes(there, request, at_ms(500)) == 0);
        }
        THEN("a late write in the store is corrected")
        {
            note_stored(there, withdrawal[0], at_ms(500));
            apply_stored_notices(there, notices, at_ms(600), at_ms(650));
            CHECK(next_share_at(there) == at_ms(650));
        }
    }
    WHEN("another gateway has stored the same mark")
    {
        apply_stored_notices(here, notices, at_ms(500), at_ms(550));
        CHECK_FALSE(next_share_at(here));
    }
}

SCENARIO("more requests are served than a gateway remembers")
{
    crash_marks marks;
    for (std::uint64_t one = 100; one < 6000; ++one)
    {
        note_answered_request(marks, one, at_ms(0));
    }
    CHECK(marks.served.size() == 4096);
    CHECK(marks.served_order.size() == 4096);
    CHECK(marks.served.contains(5999));
    CHECK(marks.by_id.empty());
}

SCENARIO("more requests end without an answer than the table of marks holds")
{
    crash_marks marks;
    for (std::uint64_t one = 100; one < 20'100; ++one)
    {
        note_unanswered_run(marks, one, "a", started_ms, at_ms(0));
    }
    CHECK(marks.by_id.size() <= 10'000);
    THEN("crashes are still counted")
    {
        break_off(marks, "a", 10);
        break_off(marks, "b", 10);
        break_off(marks, "c", 10);
        CHECK(is_refused(marks, 10));
    }
}

SCENARIO("more marks wait than one transaction holds")
{
    crash_marks marks;
    for (int i = 0; i < 40; ++i)
    {
        break_off(marks, "u" + std::to_string(i), 0);
    }
    CHECK(take(marks, 300).size() == 32);
    CHECK(next_share_at(marks) <= at_ms(300));
    CHECK(take(marks, 300).size() == 8);
}

SCENARIO("a mark is written to the store and read back")
{
    using rollout::decode_crash_notice;
    for (auto const state : {crash_mark_state::standing, crash_mark_state::withdrawn})
    {
        auto const write = rollout::encode_crash_notice({mark_id("a"), state}, 5);
        CHECK(write.lease == 5);
        auto const read = decode_crash_notice({write.key, write.value, 1});
        REQUIRE(read);
        CHECK(read->id == mark_id("a"));
        CHECK(read->state == state);
    }
    auto const written =
        rollout::encode_crash_notice({mark_id("a"), crash_mark_state::standing}, 5);
    CHECK_FALSE(decode_crash_notice({written.key + "0", "standing", 1}));
    CHECK_FALSE(decode_crash_notice({written.key.substr(0, 20), "standing", 1}));
    CHECK_FALSE(decode_crash_notice({written.key, "other", 1}));
    CHECK_FALSE(decode_crash_notice({"shared/crash/", "standing", 1}));
}
