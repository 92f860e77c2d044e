#include "membership.hpp"

#include "property.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using membership::work_state;

namespace
{

base::mono_time const start{1h};

} // namespace

SCENARIO("an entry sends work only to hosts that may have it")
{
    GIVEN("a listed and connected host in zabok")
    {
        membership::view view;
        std::vector<membership::listed_host> listed = {{"h1", "zabok", false}};
        membership::set_listed(view, listed);
        CHECK(membership::state_of(view, "h1", start) == work_state::not_connected);
        membership::connected(view, "h1", "zabok", 1, start);
        REQUIRE(membership::accepting(view, start) == std::vector<std::string>{"h1"});
        THEN("it gets none after three seconds of silence, and again after a frame")
        {
            CHECK(membership::state_of(view, "h1", start + 3s) == work_state::silent);
            membership::heard(view, "h1", start + 3s);
            CHECK(membership::state_of(view, "h1", start + 4s) == work_state::accepting);
            CHECK(membership::fresh_since(view, "h1") == start);
        }
        THEN("it gets none as soon as it leaves, and an older list does not bring it back")
        {
            // Guards against the lag of the platform's list, which may answer older after newer.
            listed.front().leaving = true;
            membership::set_listed(view, listed);
            CHECK(membership::state_of(view, "h1", start) == work_state::leaving);
            CHECK(membership::must_tell_leaving(view, "h1"));
            listed.front().leaving = false;
            membership::set_listed(view, listed);
            membership::disconnected(view, "h1");
            membership::connected(view, "h1", "zabok", 1, start);
            CHECK(membership::state_of(view, "h1", start) == work_state::leaving);
            membership::connected(view, "h1", "zabok", 2, start + 1s);
            CHECK(membership::state_of(view, "h1", start + 1s) == work_state::accepting);
            CHECK(membership::fresh_since(view, "h1") == start + 1s);
        }
        THEN("it is leaving when it vanishes from the list")
        {
            membership::set_listed(view, {});
            CHECK(membership::state_of(view, "h1", start) == work_state::leaving);
            membership::disconnected(view, "h1");
            CHECK(membership::state_of(view, "h1", start) == work_state::unknown);
        }
        THEN("it gets none while its domain is out, and is fresh when the domain returns")
        {
            // Guards against full load on upstreams that have become cold while they were out.
            membership::set_domains_out(view, std::vector<std::string>{"zabok"}, start + 1s);
            CHECK(membership::state_of(view, "h1", start + 1s) == work_state::domain_out);
            membership::set_domains_out(view, {}, start + 2s);
            CHECK(membership::state_of(view, "h1", start + 2s) == work_state::accepting);
            CHECK(membership::fresh_since(view, "h1") == start + 2s);
        }
        THEN("it gets none while it refuses by itself")
        {
            membership::set_refusing(view, "h1", true);
            CHECK(membership::state_of(view, "h1", start) == work_state::refusing);
        }
    }
    GIVEN("a connected host that the list does not know yet")
    {
        membership::view view;
        membership::connected(view, "h2", "zabok", 1, start);
        membership::set_listed(view, {});
        THEN("it may get work, since the list lags")
        {
            CHECK(membership::state_of(view, "h2", start) == work_state::accepting);
        }
    }
}

SCENARIO("an agent refuses work by itself")
{
    GIVEN("an agent in zabok")
    {
        membership::agent_state self{"zabok"};
        CHECK(membership::state_of(self) == work_state::accepting);
        THEN("it refuses while its domain is out and restarts the ramps on return")
        {
            std::vector<std::string> const out = {"krapina", "zabok"};
            CHECK_FALSE(membership::set_domains_out(self, out, start));
            CHECK(membership::refusal_code(membership::state_of(self)) ==
                  base::result_code::domain_out);
            CHECK(membership::set_domains_out(self, {}, start + 1s));
            CHECK(self.fresh_since == start + 1s);
            CHECK(membership::state_of(self) == work_state::accepting);
        }
        THEN("once it leaves, it refuses for good")
        {
            membership::set_leaving(self);
            CHECK_FALSE(membership::set_domains_out(self, {}, start));
            CHECK(membership::refusal_code(membership::state_of(self)) ==
                  base::result_code::upstream_leaving);
        }
    }
}

SCENARIO("a host that leaves, or whose domain is out, gets no work 5 s after any process knew")
{
    // Guards against an entry whose host list or configuration lags behind and goes on sending
    // work.
    test::check_property(
        "three entries with lagging lists and late frames",
        [](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            bool const by_domain = random() % 2 == 0;
            std::vector<std::string> const out = {"zabok"};
            std::vector<membership::listed_host> listed = {{"h1", "zabok", false}};
            std::vector<membership::view> entries(3);
            std::array<base::mono_time, 3> knows{};
            std::array<base::mono_time, 3> heard_at{start, start, start};
            membership::agent_state agent{"zabok"};
            for (std::size_t at = 0; at < entries.size(); ++at)
            {
                membership::set_listed(entries[at], listed);
                membership::connected(entries[at], "h1", "zabok", 1, start);
                // Lists lag by up to a minute, the configuration spreads with the frames.
                knows[at] = start + 5s + 1ms * (random() % (by_domain ? 1000 : 60'000));
            }
            auto const first = *std::min_element(knows.begin(), knows.end());
            listed.front().leaving = true;
            for (auto now = start; now < start + 80s; now += 100ms)
            {
                for (std::size_t at = 0; at < entries.size(); ++at)
                {
                    auto& entry = entries[at];
                    if (now >= knows[at] && by_domain)
                    {
                        membership::set_domains_out(entry, out, now);
                    }
                    else if (now >= knows[at])
                    {
                        membership::set_listed(entry, listed);
                    }
                    // A frame a second in each direction. Some are late, but 3 s of silence would
                    // close the connection.
                    bool const due = now.time_since_epoch() % 1s == 0s;
                    bool const frame = due && (random() % 4 != 0 || now >= heard_at[at] + 3s);
                    heard_at[at] = frame ? now : heard_at[at];
                    if (frame && membership::must_tell_leaving(entry, "h1"))
                    {
                        membership::set_leaving(agent);
                    }
                    if (frame && by_domain && entry.domains_out.contains("zabok"))
                    {
                        (void)membership::set_domains_out(agent, out, now);
                    }
                    if (frame)
                    {
                        membership::heard(entry, "h1", now);
                    }
                    auto const sends = membership::state_of(entry, "h1", now);
                    RC_ASSERT(now < knows[at] || sends != work_state::accepting);
                    bool const runs = sends == work_state::accepting &&
                                      membership::state_of(agent) == work_state::accepting;
                    RC_ASSERT(!runs || now < first + 5s);
                }
            }
        });
}

SCENARIO("a dump names each host's state")
{
    membership::view view;
    membership::connected(view, "h1", "zabok", 1, start);
    CHECK(membership::dump(view, start)["hosts"]["h1"]["state"] == "accepting");
    CHECK(membership::dump(membership::agent_state{"zabok"})["state"] == "accepting");
}
