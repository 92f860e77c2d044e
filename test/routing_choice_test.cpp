#include "routing/choose.hpp"
#include "routing/prefix_hash.hpp"
#include "routing/prefix_hints.hpp"

#include "property.hpp"

#include <algorithm>
#include <map>
#include <set>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time const start{1h};

/// `agents` hosts with one upstream each, spread over three failure domains.
struct test_fleet
{
    routing::upstream_table table;
    std::vector<routing::agent_session> sessions;
    std::mt19937_64 random{1};

    explicit test_fleet(std::size_t agents, std::uint32_t credit = 16)
    {
        for (std::size_t i = 0; i < agents; ++i)
        {
            sessions.push_back(connect(i, 1));
            report(i, {"u", credit, 8, 0, 0, 1000, true});
        }
    }

    routing::agent_session connect(std::size_t i, std::uint64_t incarnation)
    {
        wire::hello hello;
        hello.host = "host-" + std::to_string(i);
        hello.domain = "domain-" + std::to_string(i % 3);
        hello.incarnation = incarnation;
        hello.upstreams = {{"u", "lm"}};
        return routing::connect_agent(table, hello);
    }

    bool report(std::size_t i, wire::credit const& credit)
    {
        return routing::apply_credit(table, sessions[i], credit, start);
    }

    std::optional<routing::choice> choose(routing::choice_request request = {})
    {
        request.route = "lm";
        return routing::choose(table, request, start, random);
    }

    std::string host_of(std::optional<routing::choice> const& chosen)
    {
        auto const* upstream = routing::find_upstream(table, chosen->upstream);
        return table.agents[upstream->agent].host;
    }
};

/// Compares the candidate lists of the only route with the result of a scan of the table.
void check_lists(routing::upstream_table const& table)
{
    std::vector<std::uint32_t> ring;
    std::vector<std::uint32_t> with_credit;
    std::uint64_t load = 0;
    std::uint64_t limit = 0;
    for (std::uint32_t i = 0; i < table.upstreams.size(); ++i)
    {
        auto const& upstream = table.upstreams[i];
        auto const& agent = table.agents[upstream.agent];
        if (agent.connected && upstream.accepting && !table.domains_out.contains(agent.domain) &&
            !table.hosts_leaving.contains(agent.host))
        {
            ring.push_back(i);
            load += routing::expected_load(upstream);
            limit += std::max(upstream.limit, 1U);
            if (upstream.in_flight < upstream.credit)
            {
                with_credit.push_back(i);
            }
        }
    }
    auto const& route = table.routes.at(0);
    std::vector<std::uint32_t> kept_ring;
    std::ranges::transform(route.ring, std::back_inserter(kept_ring),
                           &routing::ring_point::upstream);
    auto kept_with_credit = route.with_credit;
    std::ranges::sort(kept_ring);
    std::ranges::sort(kept_with_credit);
    RC_ASSERT(kept_ring == ring);
    RC_ASSERT(kept_with_credit == with_credit);
    RC_ASSERT(route.total_load == load);
    RC_ASSERT(route.total_limit == limit);
    RC_ASSERT(std::ranges::is_sorted(route.ring, {}, &routing::ring_point::point));
}

} // namespace

SCENARIO("the candidate lists follow every change of the table")
{
    // Guards against candidate lists that diverge from the table, so that a request goes to an
    // upstream that is out, or an upstream is never chosen.
    test::check_property(
        "the lists equal the result of a scan",
        [](std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>> const& steps)
        {
            test_fleet fleet(6, 2);
            std::vector<routing::attempt_ticket> tickets;
            for (auto const& [kind, pick, value] : steps)
            {
                std::size_t const i = pick % 6;
                switch (kind % 8)
                {
                case 0:
                    fleet.sessions[i] = fleet.connect(i, value);
                    break;
                case 1:
                    routing::disconnect_agent(fleet.table, fleet.sessions[i]);
                    break;
                case 2:
                    routing::remove_host(fleet.table, "host-" + std::to_string(i));
                    break;
                case 3:
                    fleet.report(i,
                                 {"u", value % 4U, value % 8U, pick % 5U, 0, 100, value % 9 != 0});
                    break;
                case 4:
                    routing::set_domains_out(fleet.table,
                                             std::vector{"domain-" + std::to_string(value % 5)});
                    break;
                case 5:
                    routing::set_hosts_leaving(fleet.table,
                                               std::vector{"host-" + std::to_string(value % 9)});
                    break;
                case 6:
                    if (auto const chosen = fleet.choose({.suspect = value % 2 == 0}))
                    {
                        tickets.push_back(routing::begin_attempt(fleet.table, chosen->upstream));
                    }
                    break;
                default:
                    if (!tickets.empty())
                    {
                        routing::end_attempt(fleet.table, tickets[pick % tickets.size()]);
                        tickets.erase(tickets.begin() + pick % static_cast<int>(tickets.size()));
                    }
                }
                check_lists(fleet.table);
            }
        });
}

SCENARIO("only upstreams that may take the request are chosen")
{
    GIVEN("three upstreams with credit for two requests each")
    {
        test_fleet fleet(3, 2);
        THEN("six requests are placed and the seventh waits")
        {
            for (int i = 0; i < 6; ++i)
            {
                auto const chosen = fleet.choose({.prefix = 7});
                REQUIRE(chosen);
                (void)routing::begin_attempt(fleet.table, chosen->upstream);
            }
            CHECK_FALSE(fleet.choose({.prefix = 7}));
        }
        WHEN("two failure domains are out")
        {
            routing::set_domains_out(fleet.table, std::vector<std::string>{"domain-0", "domain-2"});
            THEN("only the third is chosen, and none when its host leaves")
            {
                CHECK(fleet.host_of(fleet.choose({.prefix = 1})) == "host-1");
                CHECK(fleet.host_of(fleet.choose()) == "host-1");
                routing::set_hosts_leaving(fleet.table, std::vector<std::string>{"host-1"});
                CHECK_FALSE(fleet.choose());
                // Guards against assigning work to a leaving host after it reconnects.
                routing::remove_host(fleet.table, "host-1");
                fleet.sessions[1] = fleet.connect(1, 2);
                CHECK(fleet.report(1, {"u", 2, 8, 0, 0, 1000, true}));
                CHECK_FALSE(fleet.choose());
            }
        }
        WHEN("upstreams were tried already")
        {
            std::vector<routing::upstream_id> const tried{fleet.choose()->upstream};
            THEN("they are not chosen again, with or without a prefix")
            {
                for (std::uint64_t i = 0; i < 50; ++i)
                {
                    CHECK(fleet.choose({.tried = tried})->upstream != tried[0]);
                    CHECK(fleet.choose({.prefix = i, .tried = tried})->upstream != tried[0]);
                }
            }
        }
        WHEN("all upstreams were tried already")
        {
            std::vector<routing::upstream_id> tried;
            tried.reserve(3);
            for (int i = 0; i < 3; ++i)
            {
                auto const next = fleet.choose({.tried = tried})->upstream;
                CHECK(std::ranges::find(tried, next) == tried.end());
                tried.push_back(next);
            }
            // Guards against a request on a small route that waits in vain until its deadline.
            THEN("only the last one stays excluded")
            {
                auto const again = fleet.choose({.prefix = 1, .tried = tried});
                REQUIRE(again);
                CHECK(again->upstream != tried.back());
            }
        }
        WHEN("the connection of an agent is lost while a suspect runs there")
        {
            auto const first = fleet.choose({.suspect = true})->upstream;
            (void)routing::begin_attempt(fleet.table, first, start + 10s);
            for (std::size_t i = 0; i < 3; ++i)
            {
                fleet.sessions[i] = fleet.connect(i, 1);
                fleet.report(i, {"u", 2, 8, 0, 0, 1000, true});
            }
            THEN("no other suspect is placed there until its deadline")
            {
                for (int i = 0; i < 20; ++i)
                {
                    CHECK(fleet.choose({.suspect = true})->upstream.index != first.index);
                }
                routing::choice_request const later{.route = "lm", .tried = {}, .suspect = true};
                std::set<std::uint32_t> used;
                for (int i = 0; i < 50; ++i)
                {
                    used.insert(routing::choose(fleet.table, later, start + 10s, fleet.random)
                                    ->upstream.index);
                }
                CHECK(used.contains(first.index));
            }
        }
        WHEN("a suspect runs on each of two upstreams")
        {
            auto const first = fleet.choose({.suspect = true})->upstream;
            auto const ticket = routing::begin_attempt(fleet.table, first, start + 10s);
            auto const second = fleet.choose({.suspect = true})->upstream;
            (void)routing::begin_attempt(fleet.table, second, start + 10s);
            THEN("a third one is placed beside neither, and a fourth one waits")
            {
                auto const third = fleet.choose({.prefix = 3, .suspect = true});
                REQUIRE(third);
                CHECK(third->upstream != first);
                CHECK(third->upstream != second);
                (void)routing::begin_attempt(fleet.table, third->upstream, start + 10s);
                CHECK_FALSE(fleet.choose({.suspect = true}));
                CHECK(fleet.choose().has_value());
                routing::end_attempt(fleet.table, ticket);
                CHECK(fleet.choose({.suspect = true})->upstream == first);
            }
        }
    }
    GIVEN("an agent whose connection was replaced")
    {
        test_fleet fleet(1);
        auto const old_session = fleet.sessions[0];
        auto const old_ticket = routing::begin_attempt(fleet.table, fleet.choose()->upstream);
        fleet.sessions[0] = fleet.connect(0, 2);
        CHECK(fleet.sessions[0].restarted);
        THEN("late events of the old connection have no effect")
        {
            CHECK_FALSE(fleet.choose());
            fleet.report(0, {"u", 1, 1, 0, 0, 0, true});
            routing::disconnect_agent(fleet.table, old_session);
            CHECK_FALSE(routing::apply_credit(fleet.table, old_session, {"u"}, start));
            routing::end_attempt(fleet.table, old_ticket);
            REQUIRE(fleet.choose());
            CHECK(routing::find_upstream(fleet.table, fleet.choose()->upstream)->in_flight == 0);
        }
    }
}

SCENARIO("prefix affinity is stable and bounded")
{
    for (std::size_t const size : {9, 300})
    {
        test_fleet fleet(size);
        std::map<std::uint64_t, std::string> home;
        std::map<std::string, int> share;
        for (std::uint64_t prefix = 0; prefix < 3000; ++prefix)
        {
            home[prefix] = fleet.host_of(fleet.choose({.prefix = prefix * 0x9e3779b97f4a7c15U}));
            ++share[home[prefix]];
        }
        // Guards against a change of membership that moves the prefixes of all upstreams and so
        // invalidates their caches.
        routing::disconnect_agent(fleet.table, fleet.sessions[0]);
        int moved = 0;
        for (auto const& [prefix, host] : home)
        {
            auto const now = fleet.host_of(fleet.choose({.prefix = prefix * 0x9e3779b97f4a7c15U}));
            moved += host != "host-0" && now != host ? 1 : 0;
        }
        CHECK(moved == 0);
        auto const fullest =
            std::ranges::max_element(share, {}, [](auto const& s) { return s.second; })->second;
        CHECK(fullest < 2 * 3000 / static_cast<int>(size) + 10);
    }
    GIVEN("a home above 1.25 times the mean load")
    {
        test_fleet fleet(4);
        auto const home = fleet.choose({.prefix = 5})->upstream;
        for (int i = 0; i < 2; ++i)
        {
            (void)routing::begin_attempt(fleet.table, home);
        }
        THEN("the prefix goes elsewhere, also when the home is hinted")
        {
            std::vector<routing::upstream_id> const hinted{home};
            CHECK(fleet.choose({.prefix = 5})->upstream != home);
            CHECK(fleet.choose({.prefix = 5, .hinted = hinted})->upstream != home);
        }
    }
    GIVEN("hints for one of four upstreams")
    {
        test_fleet fleet(4);
        std::vector<routing::upstream_id> const hinted{{2, fleet.table.upstreams[2].epoch}};
        int plain_wins = 0;
        int hinted_wins = 0;
        for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix)
        {
            auto const plain = fleet.choose({.prefix = prefix})->upstream;
            auto const raised = fleet.choose({.prefix = prefix, .hinted = hinted})->upstream;
            CHECK((raised == plain || raised == hinted[0]));
            plain_wins += plain == hinted[0] ? 1 : 0;
            hinted_wins += raised == hinted[0] ? 1 : 0;
        }
        // Guards against wrong hints that draw the prefixes away from the caches of the other
        // upstreams.
        THEN("it is chosen for more prefixes than by its rank alone, but not for all")
        {
            CHECK(hinted_wins > 2 * plain_wins);
            CHECK(hinted_wins < 900);
        }
    }
}

SCENARIO("without a prefix the upstream with the shorter wait is chosen")
{
    test_fleet fleet(2);
    fleet.report(0, {"u", 16, 8, 8, 8, 1000, true});
    fleet.report(1, {"u", 16, 8, 8, 0, 1000, true});
    CHECK(fleet.host_of(fleet.choose()) == "host-1");
    WHEN("requests were sent since the report")
    {
        auto const other = fleet.choose()->upstream;
        for (int i = 0; i < 9; ++i)
        {
            (void)routing::begin_attempt(fleet.table, other);
        }
        // Guards against herding: by the report alone the second one would still be preferred.
        THEN("they count as load")
        {
            CHECK(fleet.host_of(fleet.choose()) == "host-0");
        }
    }
    WHEN("requests that the report contains have ended since")
    {
        std::vector<routing::attempt_ticket> tickets(9);
        routing::upstream_id const first{0, fleet.table.upstreams[0].epoch};
        for (auto& ticket : tickets)
        {
            ticket = routing::begin_attempt(fleet.table, first);
        }
        fleet.report(0, {"u", 16, 8, 8, 8, 1000, true});
        std::ranges::for_each(tickets, [&](auto const& ticket)
                              { routing::end_attempt(fleet.table, ticket); });
        THEN("they no longer count as load")
        {
            CHECK(fleet.host_of(fleet.choose()) == "host-0");
        }
    }
}

// Guards against an upstream that gets no work at light load because its last report has a high
// latency, so that the report is never replaced.
SCENARIO("an idle upstream with a high latency gets work")
{
    test_fleet fleet(3);
    fleet.report(2, {"u", 16, 8, 0, 0, 9'000'000, true});
    int chosen = 0;
    for (int i = 0; i < 300; ++i)
    {
        chosen += fleet.host_of(fleet.choose()) == "host-2" ? 1 : 0;
    }
    // A third of the choices on average.
    CHECK(chosen > 50);
}

SCENARIO("prompts with the same prefix share a hash, and hints expire and are bounded")
{
    std::string const system(routing::prefix_block_bytes * routing::prefix_max_blocks, 's');
    CHECK_FALSE(routing::prefix_hash("short").has_value());
    CHECK(routing::prefix_hash(system + "one") == routing::prefix_hash(system + "two"));
    CHECK(routing::prefix_hash(system) != routing::prefix_hash('x' + system));

    routing::prefix_hints hints;
    routing::record_cached(hints, 1, {4, 0}, start);
    routing::record_cached(hints, 1, {5, 0}, start + 1s);
    routing::record_cached(hints, 1, {6, 0}, start + 2s);
    CHECK(routing::hinted_upstreams(hints, 1, start + 3s).size() == 2);
    routing::record_evicted(hints, 1, {6, 0});
    CHECK(routing::hinted_upstreams(hints, 1, start + 3s) ==
          std::vector{routing::upstream_id{5, 0}});
    CHECK(routing::hinted_upstreams(hints, 1, start + 1s + routing::prefix_hint_lifetime).empty());
    // Guards against memory that grows with the number of prefixes ever seen.
    for (std::uint64_t i = 0; i < 2 * routing::prefix_hints_max; ++i)
    {
        routing::record_cached(hints, i, {1, 0}, start);
    }
    CHECK(hints.by_prefix.size() <= routing::prefix_hints_max);
    CHECK(hints.by_expiry.size() <= routing::prefix_hints_max);
}
