#include "admission/fair_queue.hpp"
#include "admission/latest_dispatch.hpp"

#include "property.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using base::result_code;

namespace
{

constexpr base::mono_time start_time{100s};

struct job
{
    std::uint64_t number = 0;
    std::string team;
    std::string route = "planner-lm";
    std::uint32_t cost = 100;
    std::size_t bytes = 10;
    base::mono_time deadline{1000s};
    std::string key_hash = {};
};

admission::queue_tag queue_tag_of(job const& item)
{
    return {{item.number, 0}, item.team,  item.key_hash, item.route,
            item.cost,        item.bytes, item.deadline};
}

bool always(job const&)
{
    return true;
}

using job_queue = admission::fair_queue<job>;

/// Serves `rounds` items. Returns the tokens served to each team.
std::map<std::string, std::uint32_t> serve(job_queue& queue, int rounds)
{
    std::map<std::string, std::uint32_t> served;
    for (int i = 0; i < rounds; ++i)
    {
        auto const item = pick(queue, start_time, always);
        REQUIRE(item.has_value());
        served[item->team] += item->cost;
    }
    return served;
}

/// Reference implementation: one vector that is searched linearly.
struct naive_queue
{
    struct team
    {
        double counter = 0;
        double counter_floor = 0;
        std::uint64_t order = 0;
    };
    std::vector<job> items;
    std::map<std::string, team> teams;
    std::map<std::string, std::uint32_t> weights;
    double last_served = 0;

    bool is_waiting(std::string const& name) const
    {
        return std::any_of(items.begin(), items.end(),
                           [&](job const& item) { return item.team == name; });
    }

    double charge(std::string const& name, std::uint32_t cost) const
    {
        return static_cast<double>(cost) / weights.at(name);
    }

    void push(job const& item)
    {
        auto& own_team = teams.try_emplace(item.team, team{0, 0, teams.size()}).first->second;
        if (!is_waiting(item.team))
        {
            auto smallest = std::numeric_limits<double>::max();
            for (auto const& [name, other] : teams)
            {
                smallest = is_waiting(name) ? std::min(smallest, other.counter) : smallest;
            }
            own_team.counter = std::max(own_team.counter, items.empty() ? last_served : smallest);
            own_team.counter_floor = own_team.counter;
        }
        items.push_back(item);
    }

    std::optional<job> pick(std::string const& blocked_route)
    {
        auto best = items.end();
        for (auto it = items.begin(); it != items.end(); ++it)
        {
            auto const rank = [&](job const& item)
            {
                return std::pair(teams.at(item.team).counter, teams.at(item.team).order);
            };
            if (it->route != blocked_route && (best == items.end() || rank(*it) < rank(*best)))
            {
                best = it;
            }
        }
        if (best == items.end())
        {
            return std::nullopt;
        }
        auto const item = *best;
        auto& own_team = teams.at(item.team);
        last_served = std::max(last_served, own_team.counter);
        own_team.counter += charge(item.team, item.cost);
        items.erase(best);
        return item;
    }

    void correct(job const& item, std::uint32_t actual)
    {
        auto& own_team = teams.at(item.team);
        own_team.counter =
            std::max(own_team.counter_floor,
                     own_team.counter + charge(item.team, actual) - charge(item.team, item.cost));
    }
};

} // namespace

SCENARIO("tokens are shared by the weights of the teams, whatever they send")
{
    job_queue queue;
    std::uint64_t number = 0;
    auto const send = [&](std::string const& team, int count, std::uint32_t cost)
    {
        for (int i = 0; i < count; ++i)
        {
            REQUIRE_FALSE(push(queue, {++number, team, "planner-lm", cost}).has_value());
        }
    };
    GIVEN("a team that sends twenty times as much and larger requests than another")
    {
        send("zlatar", 800, 400);
        send("staklar", 40, 100);
        THEN("both get the same tokens while both wait")
        {
            auto const served = serve(queue, 45);
            CHECK(served.at("zlatar") / 400 == 9);
            CHECK(served.at("staklar") / 100 == 36);
        }
    }
    GIVEN("a team of weight three")
    {
        set_team(queue, "zlatar", {.weight = 3});
        send("zlatar", 100, 100);
        send("staklar", 100, 100);
        THEN("it gets three times the tokens")
        {
            auto const served = serve(queue, 80);
            CHECK(served.at("zlatar") == 6000);
            CHECK(served.at("staklar") == 2000);
        }
    }
    GIVEN("a team that was idle while another was served")
    {
        send("zlatar", 200, 100);
        (void)serve(queue, 100);
        send("staklar", 100, 100);
        THEN("it gets its share from now on, but no credit for the past")
        {
            CHECK(serve(queue, 40).at("staklar") == 2000);
        }
    }
    GIVEN("a team whose answers are ten times longer than estimated")
    {
        send("zlatar", 100, 100);
        send("staklar", 100, 100);
        std::map<std::string, int> served;
        for (int i = 0; i < 55; ++i)
        {
            auto const item = pick(queue, start_time, always);
            ++served[item->team];
            correct(queue, item->team, item->cost, item->team == "zlatar" ? 1000 : 100);
        }
        THEN("it is charged for the actual length")
        {
            CHECK(served.at("zlatar") == 5);
            CHECK(served.at("staklar") == 50);
        }
    }
    GIVEN("an overestimated request from before an idle time")
    {
        send("staklar", 1, 1'000'000);
        (void)serve(queue, 1);
        send("zlatar", 300, 100);
        (void)serve(queue, 100);
        send("staklar", 100, 100);
        correct(queue, "staklar", 1'000'000, 10);
        THEN("its refund gives no credit against teams that waited")
        {
            CHECK(serve(queue, 40).at("zlatar") >= 1900);
        }
    }
}

SCENARIO("the expected wait of a team follows from its recent picks")
{
    job_queue queue;
    for (std::uint64_t number = 1; number <= 40; ++number)
    {
        REQUIRE_FALSE(push(queue, {number, "zlatar"}).has_value());
    }
    // Guards against refusing a burst that an idle service would serve at once.
    CHECK(expected_wait(queue, "zlatar") == 0ms);
    auto now = start_time;
    for (int i = 0; i < 20; ++i)
    {
        now += 500ms;
        REQUIRE(pick(queue, now, always).has_value());
    }
    CHECK(expected_wait(queue, "zlatar") == 10s);
    CHECK(expected_wait(queue, "staklar") == 0s);
    WHEN("its queue empties and fills again")
    {
        REQUIRE(remove_team(queue, "zlatar").size() == 20);
        REQUIRE_FALSE(push(queue, {1, "zlatar"}).has_value());
        THEN("earlier picks have no effect on the expected wait")
        {
            CHECK(expected_wait(queue, "zlatar") == 0ms);
        }
    }
}

SCENARIO("an entry dispatches requests while there is time to run them")
{
    auto const handover = [](base::duration time_left, base::duration latency)
    {
        return admission::latest_dispatch(start_time + time_left, start_time, latency) - start_time;
    };
    CHECK(handover(100s, 10s) == 60s);
    // Guards against refusing all requests of a route with short deadlines or a wrong latency.
    CHECK(handover(10s, 10s) == 5s);
    CHECK(handover(-1s, 10s) == -1s);
}

SCENARIO("a queue is bounded, and its items can be removed")
{
    job_queue queue;
    set_team(queue, "zlatar", {.weight = 1, .max_queued = 3, .max_queued_bytes = 100});
    REQUIRE_FALSE(push(queue, {1, "zlatar", "planner-lm", 10, 60, base::mono_time(5s), "k1"}));
    GIVEN("a team at its bound of bytes")
    {
        THEN("it is refused, and another team is not")
        {
            CHECK(push(queue, {2, "zlatar", "x", 1, 41})->code == result_code::team_queue_full);
            CHECK_FALSE(push(queue, {2, "staklar", "x", 1, 41}).has_value());
        }
        THEN("there is room again once its item has left")
        {
            CHECK(pick(queue, start_time, always).has_value());
            CHECK_FALSE(push(queue, {2, "zlatar", "x", 1, 100}).has_value());
        }
    }
    GIVEN("a team at its bound of items")
    {
        REQUIRE_FALSE(push(queue, {2, "zlatar", "bindery-app", 10, 1, base::mono_time(3s), "k2"}));
        REQUIRE_FALSE(push(queue, {3, "zlatar", "planner-lm", 10, 1, base::mono_time(4s), "k1"}));
        CHECK(push(queue, {4, "zlatar"})->code == result_code::team_queue_full);
        CHECK(push(queue, {3, "zlatar"})->code == result_code::duplicate_attempt);
        THEN("items are removed by id, key, team or deadline")
        {
            CHECK(remove(queue, {2, 0})->number == 2);
            CHECK_FALSE(remove(queue, {2, 0}).has_value());
            CHECK(remove_key(queue, "k1").size() == 2);
            CHECK(remove_team(queue, "zlatar").empty());
            CHECK(size(queue) == 0);
        }
        THEN("expired items leave, earliest deadline first")
        {
            auto const expired = expire(queue, base::mono_time(4s));
            REQUIRE(expired.size() == 2);
            CHECK(expired[0].number == 2);
            CHECK(expired[1].number == 3);
        }
        THEN("an item whose route has no free upstream blocks neither its team nor the queue")
        {
            auto const item =
                pick(queue, start_time,
                     [](job const& candidate) { return candidate.route == "bindery-app"; });
            REQUIRE(item.has_value());
            CHECK(item->number == 2);
        }
    }
}

// Guards against wrong order, wrong charges and stale iterators after removals in any order.
TEST_CASE("the fair queue agrees with a linear reference implementation")
{
    test::check_property(
        "same order as the reference",
        [](std::uint32_t seed)
        {
            std::mt19937_64 generator(seed);
            auto const below = [&](std::uint32_t bound)
            {
                return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(generator);
            };
            job_queue queue;
            naive_queue reference;
            for (std::uint32_t team = 0; team < 5; ++team)
            {
                auto const name = std::string("team-") + std::to_string(team);
                // Weights that are powers of two keep the counters exact.
                reference.weights[name] = 1U << (team % 3);
                set_team(queue, name, {.weight = reference.weights[name]});
            }
            // Both queues break ties by the order of the teams' creation.
            for (auto& [name, weight] : reference.weights)
            {
                reference.teams[name].order = reference.teams.size();
            }
            std::vector<job> served;
            std::uint64_t number = 0;
            for (int step = 0; step < 2000; ++step)
            {
                switch (below(6))
                {
                case 0:
                case 1:
                {
                    job item{++number, "team-" + std::to_string(below(5)),
                             "route-" + std::to_string(below(3)), 1 + below(1000)};
                    item.key_hash = std::to_string(below(8));
                    item.deadline = base::mono_time(std::chrono::seconds(below(4000)));
                    reference.push(item);
                    RC_ASSERT(!push(queue, item).has_value());
                    break;
                }
                case 2:
                case 3:
                {
                    auto const blocked = "route-" + std::to_string(below(4));
                    auto const expected = reference.pick(blocked);
                    auto const item =
                        pick(queue, start_time,
                             [&](job const& candidate) { return candidate.route != blocked; });
                    RC_ASSERT(item.has_value() == expected.has_value());
                    if (item)
                    {
                        RC_ASSERT(item->number == expected->number);
                        served.push_back(*item);
                    }
                    break;
                }
                case 4:
                    if (!served.empty())
                    {
                        auto const actual = 1 + below(2000);
                        reference.correct(served.back(), actual);
                        correct(queue, served.back().team, served.back().cost, actual);
                        served.pop_back();
                    }
                    break;
                default:
                {
                    std::vector<job> removed;
                    if (below(2) == 0)
                    {
                        removed = remove_key(queue, std::to_string(below(64)));
                    }
                    else
                    {
                        removed = expire(queue, base::mono_time(std::chrono::seconds(step)));
                    }
                    for (auto const& removed_item : removed)
                    {
                        RC_ASSERT(std::erase_if(reference.items, [&](job const& item)
                                                { return item.number == removed_item.number; }) ==
                                  1);
                    }
                }
                }
                RC_ASSERT(size(queue) == reference.items.size());
            }
        });
}
