#include "config.hpp"
#include "wire/send_times.hpp"

#include "property.hpp"

#include <nlohmann/json.hpp>

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
                                 base::mono_time sent_after,
                                 std::vector<config::named_change> announced = {})
{
    return {domain + std::to_string(agent), domain,    version, 0, std::move(announced),
            config::standing::witness,      sent_after};
}

config::peer_frame entry_frame(std::uint64_t version, base::mono_time sent_after)
{
    return {"entry", "a", version, 0, {}, config::standing::fresh, sent_after};
}

config::record record_at(std::uint64_t version)
{
    return {version, "bundle " + std::to_string(version), "ok", {}};
}

/// An announcement of the change from one record to the next.
config::intent intent_to(std::uint64_t version, std::string announcer = "operator",
                         bool withdrawn = false)
{
    auto const to = record_at(version);
    return {{version, config::record_hash(to)},
            std::move(announcer),
            withdrawn,
            *config::encode(config::make_delta(record_at(version - 1), to))};
}

std::uint64_t highest(config::announcements const& of)
{
    std::uint64_t found = 0;
    for (auto const& what : config::named(of))
    {
        found = std::max(found, what.version);
    }
    return found;
}

bool serves(config::freshness const& entry, base::mono_time now)
{
    return config::state_of(entry, now) == config::serving_state::full;
}

config::freshness entry_of(std::vector<std::string> const& domains, int agents_each)
{
    config::freshness made;
    config::set_witnesses(made, domains, agents_in(domains, agents_each));
    config::version_changed(made, 5);
    return made;
}

} // namespace

SCENARIO("an entry serves keyed routes on the word of the store")
{
    GIVEN("an entry without any agent")
    {
        auto entry = entry_of({"a", "b", "c"}, 0);
        CHECK_FALSE(serves(entry, start));
        config::store_word(entry, 5, start);
        THEN("a word counts from when it was asked for, and not longer than the window")
        {
            CHECK(serves(entry, start + config::freshness_window - 1us));
            CHECK_FALSE(serves(entry, start + config::freshness_window));
        }
        THEN("a word that names a newer version does not count until that is in effect")
        {
            config::store_word(entry, 6, start + 4s);
            CHECK_FALSE(serves(entry, start + 5s));
            config::version_changed(entry, 6);
            CHECK(serves(entry, start + 5s));
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
            return serves(entry, start + 1s);
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
            CHECK_FALSE(serves(entry, start + 1s));
        }
        THEN("an announcement ends the evidence, and the new version renews it")
        {
            for (std::string const domain : {"a", "b", "c"})
            {
                hear(domain, 3);
                for (int agent = 0; agent < 3; ++agent)
                {
                    config::heard(entry, witness_frame(domain, agent, 5, start + 2s, {{6, 1}}));
                }
            }
            CHECK(serves(entry, start + 4s));
            CHECK_FALSE(serves(entry, start + 5s));
            config::version_changed(entry, 6);
            CHECK(serves(entry, start + 5s));
        }
        THEN("a frame from an earlier connection does not make a later announcement harmless")
        {
            config::heard(entry, witness_frame("a", 0, 5, start + 2s, {{6, 1}}));
            config::heard(entry, witness_frame("a", 0, 5, start));
            CHECK(entry.agents.at("a").at("a0").full_at < start + 2s);
        }
    }
}

SCENARIO("a store that goes out during a change does not stop keyed routes")
{
    GIVEN("agents of all domains that name a change to version 6, and no word from the store")
    {
        // Guards against an outage that stops all keyed routes: at 32,000 changes a day a change is
        // nearly always on its way.
        std::vector<std::string> const domains = {"a", "b", "c"};
        auto entry = entry_of(domains, 3);
        bool signature_valid = true;
        auto current = config::start_in_force(
            [&](std::string_view, std::string_view) -> base::result<config::signed_bundle>
            {
                if (!signature_valid)
                {
                    return base::fail(base::result_code::signature_invalid, "signature");
                }
                return config::signed_bundle{1, domains};
            });
        REQUIRE(config::offer(current, record_at(5), start) == true);
        auto const change = intent_to(6);
        auto const all_name = [&](config::intent const& named)
        {
            for (auto const& agent : agents_in(domains, 3))
            {
                config::heard(entry, {agent.host,
                                      agent.domain,
                                      5,
                                      0,
                                      {named.what},
                                      config::standing::witness,
                                      start + 2s});
            }
            config::prepare(entry, current, start + 3s);
            return config::state_of(entry, start + 3s);
        };
        THEN("it serves with both records if it knows the change")
        {
            config::announced(entry, change, start);
            REQUIRE(all_name(change) == config::serving_state::restricted);
            CHECK(config::dump(entry, start + 3s)["state"] == "restricted");
            REQUIRE(config::restrictions(entry).size() == 1);
            CHECK(config::restrictions(entry).front().get() == record_at(6));
            CHECK(config::standing_of(entry, start + 3s) == config::standing::none);
        }
        THEN("it asks for a change that it does not know, and serves nothing until then")
        {
            CHECK(all_name(change) == config::serving_state::stopped);
            CHECK(config::next_request(entry, start + 3s).has_value());
            CHECK_FALSE(config::next_request(entry, start + 3s).has_value());
            config::announced(entry, change, start);
            CHECK(all_name(change) == config::serving_state::restricted);
        }
        THEN("another change of the same version does not do")
        {
            auto other = change;
            ++other.what.hash;
            config::announced(entry, other, start);
            CHECK(all_name(change) == config::serving_state::stopped);
            CHECK(all_name(other) == config::serving_state::stopped);
        }
        THEN("a forged change does not do")
        {
            signature_valid = false;
            config::announced(entry, change, start);
            CHECK(all_name(change) == config::serving_state::stopped);
        }
        THEN("the restriction ends with the version, its withdrawal or a late word of the store")
        {
            config::announced(entry, change, start);
            auto by_version = entry;
            config::version_changed(by_version, 6);
            CHECK(by_version.held.empty());
            auto by_store = entry;
            config::store_word(by_store, 5, start + config::announcement_clear_age - 1us);
            CHECK(by_store.held.size() == 1);
            config::store_word(by_store, 5, start + config::announcement_clear_age);
            CHECK(by_store.held.empty());
            config::announced(entry, intent_to(6, "operator", true), start);
            CHECK(entry.held.empty());
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
        config::announced(agent, intent_to(6), 5, began);
        REQUIRE(highest(agent) == 6);
        THEN("a fresh entry clears it once the operator can't write it any more")
        {
            // Guards against an operator that died and stops keyed routes for ever.
            auto const over = began + config::announcement_clear_age;
            config::heard(agent, entry_frame(5, over - 1us), 5);
            CHECK(highest(agent) == 6);
            config::heard(agent, entry_frame(5, over), 5);
            CHECK(highest(agent) == 0);
        }
        THEN("an announcement that is repeated lives longer")
        {
            config::announced(agent, intent_to(6), 5, began + 9s);
            config::heard(agent, entry_frame(5, began + config::announcement_clear_age), 5);
            CHECK(highest(agent) == 6);
        }
        THEN("the version in effect replaces it")
        {
            config::version_changed(agent, 6);
            CHECK(highest(agent) == 0);
        }
        THEN("its withdrawal does not withdraw the same version of another operator")
        {
            // Guards against the loser of a race who withdraws what the winner has written.
            config::announced(agent, intent_to(6, "other"), 5, began);
            config::announced(agent, intent_to(6, "operator", true), 5, began);
            CHECK(highest(agent) == 6);
            config::announced(agent, intent_to(6, "other", true), 5, began);
            CHECK(highest(agent) == 0);
        }
        THEN("many announcements are bounded and none is forgotten")
        {
            for (int at = 0; at < 100; ++at)
            {
                config::announced(agent, intent_to(200 - at), 5, began);
            }
            CHECK(agent.pending.size() == config::max_announcements);
            CHECK(highest(agent) == 200);
        }
    }
}

SCENARIO("send times are bounded without comparing clocks")
{
    GIVEN("a connection on which our frame of one second ago was echoed")
    {
        wire::send_times times;
        CHECK(wire::update_send_times(times, 77, 0, start) == base::mono_time::min());
        CHECK(wire::update_send_times(times, 78, base::micros(start - 1s), start) == start - 1s);
        CHECK(times.to_echo_us == 78);
        THEN("an echo from the future or an older one is ignored")
        {
            CHECK(wire::update_send_times(times, 79, base::micros(start + 1s), start) ==
                  start - 1s);
            CHECK(wire::update_send_times(times, 80, base::micros(start - 2s), start) ==
                  start - 1s);
        }
    }
}
