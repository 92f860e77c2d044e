#include "config.hpp"

#include "property.hpp"

#include <algorithm>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

base::mono_time const start{1h};

std::vector<config::witness> agents_in(std::span<std::string const> domains, int each)
{
    std::vector<config::witness> made;
    for (auto const& domain : domains)
    {
        for (int at = 0; at < each; ++at)
        {
            made.push_back({domain + std::to_string(at), domain});
        }
    }
    return made;
}

config::peer_frame witness_frame(std::string const& domain, int agent, std::uint64_t version,
                                 base::mono_time sent_after, std::uint64_t intent = 0)
{
    return {domain + std::to_string(agent), domain,    version, intent,
            config::standing::witness,      sent_after};
}

config::peer_frame entry_frame(std::uint64_t version, base::mono_time sent_after)
{
    return {"entry", "a", version, 0, config::standing::fresh, sent_after};
}

config::freshness entry_of(std::vector<std::string> const& domains, int agents_each)
{
    config::freshness made;
    config::set_witnesses(made, domains, agents_in(domains, agents_each));
    config::version_changed(made, 5);
    return made;
}

wire::config_intent intent(std::uint64_t version, bool withdrawn = false)
{
    return {version, "operator", withdrawn};
}

} // namespace

SCENARIO("an entry serves keyed routes on the word of the store")
{
    GIVEN("an entry without any agent")
    {
        auto entry = entry_of({"a", "b", "c"}, 0);
        CHECK_FALSE(config::may_serve_keyed(entry, start));
        config::store_word(entry, 5, start);
        THEN("a word counts from when it was asked for, and not longer than the window")
        {
            CHECK(config::may_serve_keyed(entry, start + config::freshness_window - 1us));
            CHECK_FALSE(config::may_serve_keyed(entry, start + config::freshness_window));
        }
        THEN("a word that names a newer version does not count until that is in effect")
        {
            config::store_word(entry, 6, start + 4s);
            CHECK_FALSE(config::may_serve_keyed(entry, start + 5s));
            config::version_changed(entry, 6);
            CHECK(config::may_serve_keyed(entry, start + 5s));
        }
    }
}

SCENARIO("an entry without the store serves on the word of a majority of failure domains")
{
    GIVEN("four domains of three agents")
    {
        auto entry = entry_of({"a", "b", "c", "d"}, 3);
        auto const hear = [&](std::string const& domain, int count)
        {
            for (int agent = 0; agent < count; ++agent)
            {
                config::heard(entry, witness_frame(domain, agent, 5, start));
            }
            return config::may_serve_keyed(entry, start + 1s);
        };
        THEN("two of four are no majority")
        {
            // Guards against an even split in which both sides serve.
            CHECK_FALSE(hear("a", 3));
            CHECK_FALSE(hear("b", 3));
            CHECK_FALSE(hear("c", 1));
            CHECK(hear("c", 2));
        }
        THEN("agents that vouch for nothing or are not listed don't count")
        {
            hear("a", 3);
            hear("b", 3);
            auto started = witness_frame("c", 0, 5, start);
            started.sender = config::standing::none;
            config::heard(entry, started);
            for (int agent = 1; agent < 9; agent += 3)
            {
                config::heard(entry, witness_frame("c", agent, 5, start));
            }
            CHECK_FALSE(config::may_serve_keyed(entry, start + 1s));
        }
        THEN("an announcement ends the evidence, and the new version renews it")
        {
            for (std::string const domain : {"a", "b", "c"})
            {
                hear(domain, 3);
                for (int agent = 0; agent < 3; ++agent)
                {
                    config::heard(entry, witness_frame(domain, agent, 5, start + 2s, 6));
                }
            }
            CHECK(config::may_serve_keyed(entry, start + 4s));
            CHECK_FALSE(config::may_serve_keyed(entry, start + 5s));
            config::version_changed(entry, 6);
            CHECK(config::may_serve_keyed(entry, start + 5s));
        }
        THEN("a frame from an earlier connection does not make a later announcement harmless")
        {
            config::heard(entry, witness_frame("a", 0, 5, start + 2s, 6));
            config::heard(entry, witness_frame("a", 0, 5, start));
            CHECK(entry.agents.at("a").at("a0").good_at < start + 2s);
        }
    }
}

SCENARIO("any announced majority meets any heard majority")
{
    // The argument of docs/configuration.md rests on this.
    test::check_property(
        "one agent is in both",
        [](std::uint8_t domain_count, std::uint8_t agent_count)
        {
            std::size_t const domains = domain_count % 12 + 1;
            std::size_t const agents = agent_count + 1;
            RC_ASSERT(2 * config::domain_majority(domains) > domains);
            RC_ASSERT(config::announced_quorum(agents) + config::heard_quorum(agents) > agents);
            RC_ASSERT(config::announced_quorum(agents) <= agents);
        });
}

SCENARIO("an agent remembers announcements until they can't matter any more")
{
    GIVEN("an agent that vouches for version 5 and was told of version 6")
    {
        auto agent = config::start_announcements(start);
        auto const began = start + config::announcement_clear_age;
        config::heard(agent, entry_frame(5, began - 1us), 5);
        CHECK(config::standing_of(agent) == config::standing::none);
        config::heard(agent, entry_frame(6, began), 5);
        CHECK(config::standing_of(agent) == config::standing::none);
        config::heard(agent, entry_frame(5, began), 5);
        REQUIRE(config::standing_of(agent) == config::standing::witness);
        config::announced(agent, intent(6), 5, began);
        REQUIRE(config::highest_announced(agent) == 6);
        THEN("a fresh entry clears it once the operator can't write it any more")
        {
            // Guards against an operator that died and stops keyed routes for ever.
            auto const over = began + config::announcement_clear_age;
            config::heard(agent, entry_frame(5, over - 1us), 5);
            CHECK(config::highest_announced(agent) == 6);
            config::heard(agent, entry_frame(5, over), 5);
            CHECK(config::highest_announced(agent) == 0);
        }
        THEN("an announcement that is repeated lives longer")
        {
            config::announced(agent, intent(6), 5, began + 9s);
            config::heard(agent, entry_frame(5, began + config::announcement_clear_age), 5);
            CHECK(config::highest_announced(agent) == 6);
        }
        THEN("the version in effect replaces it")
        {
            config::version_changed(agent, 6);
            CHECK(config::highest_announced(agent) == 0);
        }
        THEN("its withdrawal does not withdraw the same version of another operator")
        {
            // Guards against the loser of a race who withdraws what the winner has written.
            config::announced(agent, {6, "other", false}, 5, began);
            config::announced(agent, intent(6, true), 5, began);
            CHECK(config::highest_announced(agent) == 6);
            config::announced(agent, {6, "other", true}, 5, began);
            CHECK(config::highest_announced(agent) == 0);
        }
        THEN("many announcements are bounded and none is forgotten")
        {
            for (int at = 0; at < 100; ++at)
            {
                config::announced(agent, {static_cast<std::uint64_t>(200 - at), "many", false}, 5,
                                  began);
            }
            CHECK(agent.pending.size() == config::max_announcements);
            CHECK(config::highest_announced(agent) == 200);
        }
    }
}

SCENARIO("send times are bounded without comparing clocks")
{
    GIVEN("a connection on which our frame of one second ago was echoed")
    {
        config::send_times times;
        CHECK(config::received(times, 77, 0, start) == base::mono_time::min());
        CHECK(config::received(times, 78, base::micros(start - 1s), start) == start - 1s);
        CHECK(times.to_echo_us == 78);
        THEN("an echo from the future or an older one is ignored")
        {
            CHECK(config::received(times, 79, base::micros(start + 1s), start) == start - 1s);
            CHECK(config::received(times, 80, base::micros(start - 2s), start) == start - 1s);
        }
    }
}
