#include "admission.hpp"

#include "property.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using admission::attempt_outcome;
using base::result_code;

namespace
{

constexpr base::mono_time start_time{1000s};

/// Controller of a warm upstream with a fixed concurrency limit.
admission::admission_controller warm_controller(std::uint32_t limit = 4)
{
    return admission::make_admission_controller(
        {.concurrency = {.fresh_limit = limit, .max_limit = limit}, .attempts = {}}, start_time);
}

admission::queued_start make_start(std::uint64_t number, std::string team = "zlatar",
                                   std::uint32_t attempt = 1)
{
    admission::queued_start item;
    item.request.id = {number, 0};
    item.request.attempt = attempt;
    item.request.team = std::move(team);
    item.request.cost = 100;
    item.request.fingerprint = number;
    item.request.key_hash = "key-" + std::to_string(number);
    item.entry = 1;
    item.deadline = start_time + 30s;
    return item;
}

admission::queued_start suspect_start(std::uint64_t number, std::vector<std::uint64_t> crash_ids)
{
    auto item = make_start(number);
    item.request.crash_ids = std::move(crash_ids);
    return item;
}

/// Starts all attempts that may start.
/// \returns numbers of the started requests.
std::vector<std::uint64_t> start_all(admission::admission_controller& controller,
                                     base::mono_time now)
{
    std::vector<std::uint64_t> numbers;
    while (auto const started = start_next(controller, now).start)
    {
        numbers.push_back(started->request.id.high);
    }
    return numbers;
}

using numbers = std::vector<std::uint64_t>;

} // namespace

SCENARIO("an upstream runs what its limit allows and refuses the rest with a correct \"not run\"")
{
    auto controller = warm_controller(2);
    connect(controller, 1);
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        REQUIRE_FALSE(offer(controller, make_start(number), start_time).refused.has_value());
    }
    CHECK(start_all(controller, start_time) == numbers{1, 2});

    THEN("the next one starts when one has finished")
    {
        finish_attempt(controller, {1, 0}, 1, {.generated_tokens = 50, .total = 1s},
                       start_time + 1s);
        CHECK(start_all(controller, start_time + 1s) == numbers{3});
        CHECK(load(controller, start_time).queued == 1);
    }
    THEN("a duplicate report of the same end does not free a second slot")
    {
        finish_attempt(controller, {1, 0}, 1, {.total = 1s}, start_time + 1s);
        finish_attempt(controller, {1, 0}, 1, {.total = 1s}, start_time + 1s);
        CHECK(controller.concurrency.running == 1);
    }
    THEN("queued attempts whose deadlines pass are refused as not run, running ones stay")
    {
        auto const result = start_next(controller, start_time + 31s);
        REQUIRE(result.refused.size() == 2);
        CHECK(result.refused[0].code == result_code::deadline_passed);
        CHECK(result.refused[0].not_run);
        CHECK(controller.running.size() == 2);
    }
    THEN("a drained upstream refuses all but running attempts and becomes idle after them")
    {
        auto const refused = drain(controller, result_code::upstream_leaving, start_time);
        REQUIRE(refused.size() == 2);
        CHECK(refused[0].not_run);
        auto const late = offer(controller, make_start(9), start_time).refused;
        REQUIRE(late.has_value());
        CHECK(late->code == result_code::upstream_leaving);
        CHECK(late->not_run);
        CHECK_FALSE(load(controller, start_time).accepting);
        finish_attempt(controller, {1, 0}, 1, {}, start_time);
        CHECK_FALSE(is_idle(controller));
        finish_attempt(controller, {2, 0}, 1, {}, start_time);
        CHECK(is_idle(controller));
    }
    THEN("a canceled queued attempt is refused as not run, a running one is left to the caller")
    {
        auto const queued = cancel(controller, {3, 0}, 1, start_time);
        REQUIRE(queued.refused.has_value());
        CHECK(queued.refused->not_run);
        CHECK(cancel(controller, {1, 0}, 1, start_time).is_running);
        CHECK_FALSE(cancel(controller, {1, 0}, 2, start_time).is_running);
    }
    THEN("a fence of a queued attempt removes it, one of a running attempt reports it")
    {
        CHECK_FALSE(fence(controller, {3, 0}, 1, start_time));
        CHECK(size(controller.queue) == 1);
        CHECK(fence(controller, {1, 0}, 1, start_time));
    }
    THEN("a higher attempt replaces the queued one")
    {
        auto const result = offer(controller, make_start(3, "zlatar", 2), start_time);
        CHECK_FALSE(result.refused.has_value());
        REQUIRE(result.superseded.has_value());
        CHECK(result.superseded->attempt == 1);
        CHECK(result.superseded->not_run);
        CHECK(size(controller.queue) == 2);
    }
    THEN("a withdrawn key ends its queued and its running requests, and no other")
    {
        auto const queued = withdraw_key(controller, "key-4", start_time);
        REQUIRE(queued.refused.size() == 1);
        CHECK(queued.refused[0].code == result_code::key_withdrawn);
        CHECK(queued.running.empty());
        auto const running = withdraw_key(controller, "key-1", start_time);
        REQUIRE(running.running.size() == 1);
        CHECK(running.running[0].id == base::request_id{1, 0});
        // Requests of open routes have no key.
        CHECK(withdraw_key(controller, "", start_time).refused.empty());
    }
    THEN("the idempotent attempts of a disconnected entry end; the others continue")
    {
        controller.running.begin()->second.idempotent = true;
        auto const ended = disconnect(controller, 1, start_time);
        CHECK(ended.refused.size() == 2);
        REQUIRE(ended.running.size() == 1);
        CHECK(ended.running[0].id == base::request_id{1, 0});
    }
    THEN("the state dump shows it, without keys")
    {
        auto const state = dump(controller, start_time);
        CHECK(state["queued"] == 2);
        CHECK(state["running"].size() == 2);
        CHECK(state.dump().find("key-") == std::string::npos);
    }
}

SCENARIO("a new bundle changes limits and teams while requests run and wait")
{
    auto controller = warm_controller(4);
    std::vector<bundle::team> teams(2);
    teams[0].name = "zlatar";
    teams[0].weight = 3;
    teams[0].max_queued = 2;
    teams[1].name = "staklar";
    apply_teams(controller, teams);
    REQUIRE_FALSE(offer(controller, make_start(1), start_time).refused.has_value());
    REQUIRE_FALSE(offer(controller, make_start(2), start_time).refused.has_value());
    CHECK(offer(controller, make_start(3), start_time).refused->code ==
          result_code::team_queue_full);
    CHECK(offer(controller, make_start(3), start_time).refused->not_run);
    WHEN("the limit falls below the number of running attempts")
    {
        CHECK(start_all(controller, start_time) == numbers{1, 2});
        bundle::route limits;
        limits.max_limit = 1;
        apply_route(controller, limits);
        REQUIRE_FALSE(offer(controller, make_start(4), start_time).refused.has_value());
        THEN("no running attempt is aborted, and none starts before there is room")
        {
            CHECK(start_all(controller, start_time).empty());
            finish_attempt(controller, {1, 0}, 1, {.total = 1s}, start_time + 1s);
            CHECK(start_all(controller, start_time + 1s).empty());
            finish_attempt(controller, {2, 0}, 1, {.total = 1s}, start_time + 1s);
            CHECK(start_all(controller, start_time + 1s) == numbers{4});
        }
    }
    WHEN("teams leave the bundle")
    {
        apply_teams(controller, {});
        THEN("one with waiting requests is kept until it is idle")
        {
            CHECK(controller.queue.teams.size() == 1);
            CHECK(start_all(controller, start_time).size() == 2);
            apply_teams(controller, {});
            CHECK(controller.queue.teams.empty());
            finish_attempt(controller, {1, 0}, 1, {.generated_tokens = 9, .total = 1s},
                           start_time + 1s);
        }
    }
}

SCENARIO("requests whose deadlines can't be met are refused at once")
{
    auto controller = warm_controller(1);
    std::uint64_t number = 0;
    GIVEN("an upstream that takes ten seconds per request")
    {
        REQUIRE_FALSE(offer(controller, make_start(++number), start_time).refused.has_value());
        REQUIRE(start_next(controller, start_time).start.has_value());
        finish_attempt(controller, {number, 0}, 1, {.generated_tokens = 100, .total = 10s},
                       start_time);
        THEN("the queue accepts as many of a team as it can start in time, with time to spare")
        {
            int accepted = 0;
            std::optional<admission::refusal> refused;
            while (!refused && accepted < 10)
            {
                refused = offer(controller, make_start(++number), start_time).refused;
                accepted += refused ? 0 : 1;
            }
            // They start at 0 s and 10 s; a third one would have only 10 s left, which is the
            // average.
            CHECK(accepted == 2);
            REQUIRE(refused.has_value());
            CHECK(refused->code == result_code::overloaded);
            CHECK(refused->not_run);
            CHECK(refused->retry_at > start_time);
        }
        THEN("an idle upstream still tries a request that is estimated to take too long")
        {
            auto item = make_start(++number);
            item.request.cost = 100'000;
            CHECK_FALSE(offer(controller, item, start_time).refused.has_value());
            CHECK(start_next(controller, start_time).start.has_value());
        }
    }
}

SCENARIO("requests that crash upstreams are isolated")
{
    auto controller = warm_controller(4);
    GIVEN("two suspects and another request of their team behind them")
    {
        REQUIRE_FALSE(offer(controller, suspect_start(1, {77}), start_time).refused.has_value());
        REQUIRE_FALSE(
            offer(controller, suspect_start(2, {78, 78}), start_time).refused.has_value());
        REQUIRE_FALSE(offer(controller, make_start(3), start_time).refused.has_value());
        THEN("one suspect runs at a time, and other requests overtake the waiting one")
        {
            CHECK(start_all(controller, start_time) == numbers{1, 3});
            finish_attempt(controller, {1, 0}, 1, {.total = 1s}, start_time + 1s);
            CHECK(start_all(controller, start_time + 1s) == numbers{2});
        }
    }
    GIVEN("a request with two distinct crashes")
    {
        auto const refused = offer(controller, suspect_start(1, {77, 78}), start_time).refused;
        THEN("it is refused")
        {
            REQUIRE(refused.has_value());
            CHECK(refused->code == result_code::crash_suspect);
            CHECK(refused->not_run);
        }
    }
    GIVEN("a crash while two requests run and a copy of one waits with a new id")
    {
        for (std::uint64_t number = 1; number <= 4; ++number)
        {
            REQUIRE_FALSE(offer(controller, make_start(number), start_time).refused.has_value());
        }
        CHECK(start_all(controller, start_time).size() == 4);
        auto copy = make_start(5);
        copy.request.fingerprint = 2;
        REQUIRE_FALSE(offer(controller, copy, start_time).refused.has_value());
        auto const ended = handle_crash(controller, 900, start_time + 1s);
        THEN("each running one is lost and marked, and the copy is a suspect")
        {
            REQUIRE(ended.running.size() == 4);
            CHECK(ended.running[0].crash_ids == std::vector<std::uint64_t>{900});
            CHECK(controller.concurrency.running == 0);
            CHECK(start_all(controller, start_time + 1s) == numbers{5});
            CHECK(controller.running_suspects == 1);
        }
        THEN("a second crash refuses the next copy until the marks expire")
        {
            CHECK(start_all(controller, start_time + 1s) == numbers{5});
            CHECK(handle_crash(controller, 901, start_time + 2s).running[0].crash_ids.size() == 2);
            auto again = make_start(6);
            again.request.fingerprint = 2;
            again.deadline = start_time + 11min;
            CHECK(offer(controller, again, start_time + 3s).refused->code ==
                  result_code::crash_suspect);
            again.request.id = {7, 0};
            CHECK_FALSE(offer(controller, again, start_time + 2s + 10min).refused.has_value());
        }
        THEN("a late end of a lost attempt has no effect")
        {
            finish_attempt(controller, {1, 0}, 1, {.total = 1s}, start_time + 2s);
            CHECK(controller.concurrency.running == 0);
        }
    }
    GIVEN("a running request that is marked because of a crash elsewhere")
    {
        REQUIRE_FALSE(offer(controller, make_start(1), start_time).refused.has_value());
        CHECK(start_all(controller, start_time) == numbers{1});
        std::uint64_t const crash = 5;
        CHECK(mark_suspect(controller, 1, std::span(&crash, 1), start_time + 1min, start_time)
                  .empty());
        THEN("no other suspect starts beside it")
        {
            REQUIRE_FALSE(offer(controller, suspect_start(2, {6}), start_time).refused.has_value());
            CHECK(start_all(controller, start_time).empty());
        }
    }
}

// Guards against running an attempt twice, a false "not run", two suspects that run at the same
// time, and leaks of slots or credit, for random orders of all events. Ids, attempts and
// fingerprints of requests are reused.
TEST_CASE("an admission controller agrees with what its upstream ran")
{
    test::check_property(
        "random events on a virtual clock",
        [](std::uint32_t seed)
        {
            std::mt19937_64 generator(seed);
            auto const below = [&](std::uint32_t bound)
            {
                return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(generator);
            };
            auto controller = admission::make_admission_controller(
                {.concurrency = {.fresh_limit = 2, .max_limit = 6, .warm_up = 20s},
                 .attempts = {120, 20, 40s}},
                start_time);
            for (std::uint64_t entry = 0; entry < 3; ++entry)
            {
                connect(controller, entry);
            }
            auto now = start_time;
            using key = std::pair<std::uint64_t, std::uint32_t>;
            std::set<key> ran;
            std::set<std::uint64_t> ran_once;
            std::set<key> refused_not_run;
            std::map<key, bool> running;
            auto const check = [&](admission::refusal const& refused)
            {
                key const which{refused.id.high, refused.attempt};
                RC_ASSERT(!running.contains(which) || !refused.not_run);
                RC_ASSERT(!ran.contains(which) || !refused.not_run);
                if (refused.not_run)
                {
                    refused_not_run.insert(which);
                }
            };
            auto const check_all = [&](std::vector<admission::refusal> const& refusals)
            {
                std::for_each(refusals.begin(), refusals.end(), check);
            };
            for (std::uint64_t step = 0; step < 3000; ++step)
            {
                now += std::chrono::milliseconds(below(300));
                auto const number = step / 20 * 4 + below(12);
                switch (below(24))
                {
                case 0:
                    if (below(5) != 0)
                    {
                        break;
                    }
                    for (auto const& lost : handle_crash(controller, step, now).running)
                    {
                        RC_ASSERT(running.erase({lost.id.high, lost.attempt}) == 1);
                    }
                    RC_ASSERT(running.empty());
                    break;
                case 1:
                    check_all(
                        withdraw_key(controller, "key-" + std::to_string(number), now).refused);
                    break;
                case 2:
                    if (below(4) == 0)
                    {
                        check_all(drain(controller, result_code::shutting_down, now));
                        reopen(controller);
                    }
                    break;
                case 3:
                {
                    auto const attempt = below(4);
                    if (!fence(controller, {number, 0}, attempt, now))
                    {
                        RC_ASSERT(!ran.contains({number, attempt}));
                        refused_not_run.insert({number, attempt});
                    }
                    break;
                }
                case 4:
                {
                    auto const result = cancel(controller, {number, 0}, below(4), now);
                    if (result.refused)
                    {
                        check(*result.refused);
                    }
                    break;
                }
                case 5:
                    (void)rebalance(controller, now);
                    break;
                case 6:
                case 7:
                case 8:
                case 9:
                case 10:
                    if (!running.empty())
                    {
                        auto const which = *std::next(
                            running.begin(), below(static_cast<std::uint32_t>(running.size())));
                        finish_attempt(controller, {which.first.first, 0}, which.first.second,
                                       {static_cast<attempt_outcome>(below(8) / 5 * below(4)),
                                        below(200), below(200), 100ms, 100ms * (1 + below(20))},
                                       now);
                        running.erase(which.first);
                    }
                    break;
                default:
                {
                    auto item = make_start(number, "team-" + std::to_string(below(3)), below(4));
                    item.request.idempotent = number % 2 == 0;
                    item.request.fingerprint = number / 2;
                    item.entry = below(3);
                    item.deadline = now + std::chrono::seconds(below(30)) - 2s;
                    auto const result = offer(controller, item, now);
                    if (result.refused)
                    {
                        check(*result.refused);
                    }
                    if (result.superseded)
                    {
                        check(*result.superseded);
                    }
                }
                }
                auto result = start_next(controller, now);
                check_all(result.refused);
                while (result.start)
                {
                    auto const& request = result.start->request;
                    key const which{request.id.high, request.attempt};
                    RC_ASSERT(now < result.start->deadline);
                    RC_ASSERT(!refused_not_run.contains(which));
                    RC_ASSERT(ran.insert(which).second);
                    RC_ASSERT(ran_once.insert(request.id.high).second || request.idempotent);
                    running[which] = !request.crash_ids.empty();
                    RC_ASSERT(std::count_if(running.begin(), running.end(),
                                            [](auto const& attempt)
                                            { return attempt.second; }) <= 1);
                    RC_ASSERT(running.size() <= envelope(controller.concurrency, now));
                    result = start_next(controller, now);
                    check_all(result.refused);
                }
                std::uint32_t outstanding = 0;
                for (auto const& [entry, share] : controller.shares.entries)
                {
                    outstanding += share.outstanding;
                }
                RC_ASSERT(outstanding == running.size() + size(controller.queue));
                RC_ASSERT(controller.concurrency.running == running.size());
            }
            // Guards against random events that leave too few runs to check.
            RC_ASSERT(ran.size() > 200);
        });
}

// Guards against an upstream that never gets work again because its last answers were long.
SCENARIO("the reported latency does not depend on the lengths of the last answers")
{
    auto controller = warm_controller(2);
    connect(controller, 1);
    auto const serve = [&](std::uint64_t number, std::uint32_t cost, base::duration total)
    {
        auto item = make_start(number);
        item.request.cost = cost;
        REQUIRE_FALSE(offer(controller, std::move(item), start_time).refused.has_value());
        REQUIRE(start_all(controller, start_time) == numbers{number});
        finish_attempt(controller, {number, 0}, 1, {.generated_tokens = cost, .total = total},
                       start_time);
        return load(controller, start_time).latency;
    };
    auto const after_long = serve(1, 1000, 10s);
    CHECK(after_long == serve(2, 10, 100ms));
    WHEN("the upstream restarts its warm-up")
    {
        restart_warm_up(controller, start_time);
        THEN("its latency is unknown")
        {
            CHECK(load(controller, start_time).latency == base::duration{0});
        }
    }
}
