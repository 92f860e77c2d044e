#include "routing/claim_home.hpp"
#include "routing/claim_round.hpp"

#include "property.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using routing::claim_outcome;

namespace
{

base::mono_time const start{1h};
base::request_id const id{1, 2};
base::duration const horizon = 180s;

bool always(std::string_view)
{
    return true;
}

std::vector<routing::claim_home> make_agents(std::size_t count, std::size_t domains)
{
    std::vector<routing::claim_home> all;
    for (std::size_t i = 0; i < count; ++i)
    {
        all.push_back(routing::make_claim_home("host-" + std::to_string(i),
                                               "domain-" + std::to_string(i % domains)));
    }
    return all;
}

struct answering_home
{
    base::mono_time started_at = start - horizon;
    std::uint64_t holder = 0;

    wire::claimed answer(wire::claim const& claim, base::mono_time now)
    {
        bool const is_new = holder == 0 || holder == claim.token;
        holder = is_new ? claim.token : holder;
        return {claim.id, claim.token, is_new, now - started_at >= horizon};
    }
};

/// Several entries claim one id while one host restarts and loses its connections. With
/// `every_home`, the connections of the other hosts break as well. Returns the number of entries
/// that may run the id.
int count_runs_with_faults(std::uint64_t seed, routing::claim_rule rule)
{
    struct pending
    {
        std::size_t round;
        std::string host;
        std::optional<wire::claimed> answer;
    };
    std::mt19937_64 random(seed);
    auto const chance = [&](int percent)
    {
        return random() % 100 < static_cast<unsigned>(percent);
    };
    auto const homes = routing::choose_claim_homes(make_agents(6, 3), {random(), random()});
    auto const faulty = homes[random() % 2].host;
    auto const may_break = [&](std::string_view host)
    {
        return rule == routing::claim_rule::every_home || host == faulty;
    };
    std::map<std::string, answering_home, std::less<>> home_states;
    std::vector<routing::claim_round> rounds;
    std::deque<pending> frames;
    auto now = start;
    for (int step = 0; step < 400; ++step)
    {
        now += base::duration(random() % 500'000);
        if (chance(5))
        {
            home_states[faulty] = {now, 0};
        }
        if (rounds.size() < 20 && chance(20))
        {
            rounds.push_back(routing::start_claim(
                id, rounds.size() + 1, homes, now + 5s,
                [&](std::string_view host) { return !may_break(host) || chance(60); }, rule));
            for (auto const& home : rounds.back().homes)
            {
                if (home.state == routing::claim_home_state::state::asked)
                {
                    frames.push_back({rounds.size() - 1, home.host, {}});
                }
            }
        }
        if (!frames.empty())
        {
            auto const position =
                frames.begin() + static_cast<std::ptrdiff_t>(random() % frames.size());
            auto frame = *position;
            frames.erase(position);
            auto& round = rounds[frame.round];
            if (chance(10))
            {
                frames.push_back(frame);
            }
            if (may_break(frame.host) && chance(30))
            {
                routing::on_home_lost(round, frame.host);
            }
            else if (frame.answer)
            {
                routing::on_claim_answer(round, frame.host, *frame.answer);
            }
            else
            {
                frame.answer =
                    home_states[frame.host].answer(routing::claim_message(round, {}), now);
                frames.push_back(frame);
            }
        }
        for (auto& round : rounds)
        {
            routing::check_claim_deadline(round, now);
        }
    }
    return static_cast<int>(
        std::ranges::count(rounds, claim_outcome::run, &routing::claim_round::outcome));
}

} // namespace

SCENARIO("homes of a claim lie in different failure domains")
{
    auto all = make_agents(9, 3);
    for (std::uint64_t i = 0; i < 200; ++i)
    {
        auto const homes = routing::choose_claim_homes(all, {i, i});
        REQUIRE(homes.size() == 2);
        CHECK(homes[0].domain != homes[1].domain);
        // Guards against entries that choose different homes because they list the agents in
        // another order.
        std::ranges::reverse(all);
        CHECK(routing::choose_claim_homes(all, {i, i})[1].host == homes[1].host);
    }
    // Guards against a second home that depends on the order of the agents: without the first home,
    // all others keep their rank.
    for (std::uint64_t i = 0; i < 200; ++i)
    {
        auto const homes = routing::choose_claim_homes(all, {i, i});
        auto rest = all;
        std::erase_if(rest, [&](auto const& agent) { return agent.domain == homes[0].domain; });
        CHECK(routing::choose_claim_homes(rest, {i, i})[0].host == homes[1].host);
    }
    auto const single = routing::choose_claim_homes(make_agents(4, 1), id);
    REQUIRE(single.size() == 2);
    CHECK(single[0].host != single[1].host);
    // Guards against a list that contains a host twice, as during its replacement.
    auto twice = make_agents(4, 1);
    twice.insert(twice.end(), single.begin(), single.end());
    CHECK(routing::choose_claim_homes(twice, id)[1].host == single[1].host);
    CHECK(routing::choose_claim_homes(make_agents(1, 1), id).size() == 1);
    CHECK(routing::choose_claim_homes({}, id).empty());
}

SCENARIO("a claim is decided by its homes")
{
    auto const homes = routing::choose_claim_homes(make_agents(3, 3), id);
    auto round = routing::start_claim(id, 7, homes, start + 5s, always);
    wire::claimed const is_new{id, 7, true, true};
    wire::claimed const young{id, 7, true, false};
    wire::claimed const taken{id, 7, false, true};
    CHECK(round.outcome == claim_outcome::pending);

    SUBCASE("both report a new id, and one of them covers the horizon")
    {
        CHECK(routing::on_claim_answer(round, homes[0].host, young) == claim_outcome::pending);
        CHECK(routing::on_claim_answer(round, homes[1].host, is_new) == claim_outcome::run);
        // Guards against an outcome that changes after the request was sent.
        CHECK(routing::on_claim_answer(round, homes[0].host, taken) == claim_outcome::run);
    }
    SUBCASE("both have restarted recently")
    {
        routing::on_claim_answer(round, homes[0].host, young);
        CHECK(routing::on_claim_answer(round, homes[1].host, young) == claim_outcome::unavailable);
    }
    SUBCASE("one of them has a claim of another claimer")
    {
        CHECK(routing::on_claim_answer(round, homes[0].host, taken) == claim_outcome::duplicate);
        CHECK(routing::claim_result(round.outcome) == base::result_code::outcome_unknown);
    }
    SUBCASE("answers of other claims and hosts don't count")
    {
        routing::on_claim_answer(round, homes[0].host, {id, 8, true, true});
        routing::on_claim_answer(round, homes[0].host, {{9, 9}, 7, true, true});
        routing::on_claim_answer(round, "elsewhere", is_new);
        routing::on_claim_answer(round, homes[1].host, is_new);
        CHECK(routing::on_claim_answer(round, homes[1].host, is_new) == claim_outcome::pending);
    }
    SUBCASE("after the loss of a home the other one decides")
    {
        routing::on_home_lost(round, homes[0].host);
        CHECK(routing::on_claim_answer(round, homes[1].host, is_new) == claim_outcome::run);
    }
    SUBCASE("a connected home that stays silent makes the claim unavailable")
    {
        routing::on_claim_answer(round, homes[1].host, is_new);
        CHECK(routing::check_claim_deadline(round, start + 4s) == claim_outcome::pending);
        CHECK(routing::check_claim_deadline(round, start + 5s) == claim_outcome::unavailable);
    }
    SUBCASE("no home is reachable")
    {
        auto const none =
            routing::start_claim(id, 7, homes, start + 5s, [](std::string_view) { return false; });
        CHECK(none.outcome == claim_outcome::unavailable);
        CHECK(routing::claim_result(none.outcome) == base::result_code::outcome_unknown);
    }
}

SCENARIO("an id is run at most once while faults hit one of its homes")
{
    // Guards against executing a request twice when its caller repeats it at another entry.
    test::check_property(
        "reachable homes decide, one home fails", [](std::uint64_t seed)
        { RC_ASSERT(count_runs_with_faults(seed, routing::claim_rule::reachable_homes) <= 1); });
    test::check_property(
        "every home decides, all connections break", [](std::uint64_t seed)
        { RC_ASSERT(count_runs_with_faults(seed, routing::claim_rule::every_home) <= 1); });
}
