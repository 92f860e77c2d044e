#include "config.hpp"

#include "property.hpp"

#include <string>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using config::apply_phase;
using config::write_answer;

namespace
{

base::mono_time const start{1h};
std::vector<std::string> const domains = {"a", "b", "c"};

config::record held_at(std::uint64_t version, std::string text = "old\n")
{
    return {version, std::move(text), "ok", {}};
}

/// Three agents in each of three domains, and one entry.
config::apply_round round_of()
{
    std::vector<std::string> hosts = {"entry"};
    std::vector<config::witness> agents;
    for (auto const& domain : domains)
    {
        for (int at = 0; at < 3; ++at)
        {
            agents.push_back({domain + std::to_string(at), domain});
            hosts.push_back(agents.back().host);
        }
    }
    auto const change = [](config::record const& from) -> base::result<config::record>
    {
        auto made = from;
        made.bundle_text = "new\n";
        return made;
    };
    return config::start_round("operator", change, hosts, agents, start);
}

void read(config::apply_round& round, config::record const& held, base::mono_time now = start)
{
    config::store_read(round, std::optional(held), domains, now);
}

void acknowledge(config::apply_round& round, std::vector<std::string> const& hosts,
                 base::mono_time now = start)
{
    for (auto const& host : hosts)
    {
        config::acknowledged(round, host, config::intent_of(round), now);
    }
}

std::vector<std::string> const majority = {"a0", "a1", "b0", "b1"};

} // namespace

SCENARIO("an operator announces, writes and waits")
{
    auto round = round_of();
    GIVEN("a store with version 5")
    {
        read(round, held_at(5));
        REQUIRE(round.phase == apply_phase::announcing);
        CHECK(config::intent_of(round).what.version == 6);
        THEN("it writes only after two thirds of the agents in a majority of domains have answered")
        {
            acknowledge(round, {"a0", "a1", "b0", "c0", "entry"});
            config::acknowledged(round, "b1", {{6, 1}, "operator", false, {}}, start);
            auto other = config::intent_of(round);
            other.announcer = "other";
            config::acknowledged(round, "b1", other, start);
            CHECK(round.phase == apply_phase::announcing);
            acknowledge(round, {"b1"});
            CHECK(round.phase == apply_phase::writing);
            CHECK(round.write_until == start + config::announcement_lifetime);
        }
        THEN("without a majority it writes nothing and withdraws the announcement")
        {
            acknowledge(round, {"a0", "a1"});
            config::tick(round, start + config::announce_limit);
            CHECK(round.phase == apply_phase::finished);
            CHECK(round.outcome.code == base::result_code::timeout);
            CHECK(config::intent_of(round).withdrawn);
        }
        WHEN("it is written")
        {
            acknowledge(round, majority);
            config::store_written(round, write_answer::written, start);
            REQUIRE(round.phase == apply_phase::waiting);
            auto const states = [&](std::string const& host, std::uint64_t version)
            {
                config::heard(round, {host, "a", version, 0, {}, config::standing::none, start},
                              start + 1s);
            };
            for (auto const& host : round.processes)
            {
                states(host, host == "c2" ? 5 : 6);
            }
            CHECK(round.phase == apply_phase::waiting);
            THEN("it ends once all have it")
            {
                states("c2", 7);
                CHECK(round.outcome.code == base::result_code::ok);
                CHECK(round.outcome.in_force == 10);
                CHECK_FALSE(config::intent_of(round).withdrawn);
            }
            THEN("after ten seconds it names those that have not answered")
            {
                config::tick(round, start + config::in_force_target);
                CHECK(round.outcome.code == base::result_code::not_in_force_everywhere);
                CHECK(round.outcome.in_force == 9);
                CHECK(round.outcome.not_answered == std::vector<std::string>{"c2"});
                CHECK_FALSE(config::intent_of(round).withdrawn);
            }
        }
        WHEN("another operator was faster")
        {
            acknowledge(round, majority);
            config::store_written(round, write_answer::refused, start);
            read(round, held_at(6, "other\n"));
            THEN("the conflict names its version, and the announcement is withdrawn")
            {
                CHECK(round.outcome.code == base::result_code::version_conflict);
                CHECK(round.outcome.other_version == 6);
                CHECK(config::intent_of(round).withdrawn);
            }
        }
        // Guards against a loser that can't say that it wrote nothing.
        WHEN("another operator was faster, and a third followed before this one read again")
        {
            acknowledge(round, majority);
            config::store_written(round, write_answer::refused, start);
            read(round, held_at(7, "third\n"));
            CHECK(round.outcome.code == base::result_code::version_conflict);
            CHECK(round.outcome.other_version == 7);
            CHECK(config::intent_of(round).withdrawn);
        }
        WHEN("the answer to the write is lost")
        {
            acknowledge(round, majority);
            config::tick(round, round.write_until);
            REQUIRE(round.phase == apply_phase::reading_back);
            auto const later = round.write_until;
            THEN("a store that holds the record has written it")
            {
                read(round, round.proposed, later);
                CHECK(round.phase == apply_phase::waiting);
            }
            THEN("a store that holds the old one is written again after a new announcement")
            {
                // Guards against a write whose announcement has been cleared in the meantime.
                read(round, held_at(5), later);
                REQUIRE(round.phase == apply_phase::announcing);
                CHECK(round.acknowledged_by.empty());
                acknowledge(round, majority, later);
                config::store_written(round, write_answer::refused, later);
                read(round, round.proposed, later);
                CHECK(round.phase == apply_phase::waiting);
            }
            THEN("a store that has moved on, or does not answer, leaves the outcome unknown")
            {
                // Guards against a withdrawn announcement of a change that was written.
                auto silent = round;
                read(round, held_at(7), later);
                config::store_read(silent, base::fail(base::result_code::store_unavailable, ""),
                                   domains, start + config::apply_limit);
                for (auto const& ended : {round, silent})
                {
                    CHECK(ended.outcome.code == base::result_code::store_outcome_unknown);
                    CHECK_FALSE(config::intent_of(ended).withdrawn);
                }
            }
        }
    }
    GIVEN("another version than the expected one")
    {
        round.expected_version = 5;
        read(round, held_at(6));
        THEN("nothing is announced")
        {
            CHECK(round.outcome.code == base::result_code::version_conflict);
            CHECK(round.outcome.other_version == 6);
        }
    }
    GIVEN("an empty store")
    {
        config::store_read(round, std::optional<config::record>(), domains, start);
        THEN("the first record needs no announcement")
        {
            CHECK(round.phase == apply_phase::writing);
            CHECK(round.proposed.version == 1);
        }
    }
    GIVEN("a store that does not answer")
    {
        config::store_read(round, base::fail(base::result_code::store_unavailable, ""), domains,
                           start);
        CHECK(round.phase == apply_phase::reading);
        config::tick(round, start + config::apply_limit);
        THEN("the round ends with nothing written")
        {
            CHECK(round.outcome.code == base::result_code::store_unavailable);
        }
    }
}
