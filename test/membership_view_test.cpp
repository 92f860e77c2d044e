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

SCENARIO("an entry sends new work only to hosts that accept it")
{
    GIVEN("a listed and connected host in zabok")
    {
        membership::view members;
        std::vector<membership::listed_host> listed = {{"h1", "zabok", false}};
        membership::apply_host_list(members, listed);
        CHECK(membership::state_of(members, "h1", start) == work_state::not_connected);
        membership::on_connected(members, "h1", "zabok", 1, start);
        REQUIRE(membership::accepting_hosts(members, start) == std::vector<std::string>{"h1"});
        THEN("it gets no work after three seconds of silence, and gets work again after a frame")
        {
            CHECK(membership::state_of(members, "h1", start + 3s) == work_state::silent);
            membership::on_frame(members, "h1", start + 3s);
            CHECK(membership::state_of(members, "h1", start + 4s) == work_state::accepting);
            CHECK(membership::warm_up_start(members, "h1") == start);
        }
        THEN("it gets no work once it is leaving, and an outdated list does not change that")
        {
            // Guards against use of an outdated list: the platform's list lags, so an older answer
            // may follow a newer one.
            listed.front().leaving = true;
            membership::apply_host_list(members, listed);
            CHECK(membership::state_of(members, "h1", start) == work_state::leaving);
            CHECK(membership::must_announce_leaving(members, "h1"));
            listed.front().leaving = false;
            membership::apply_host_list(members, listed);
            membership::on_disconnected(members, "h1");
            membership::on_connected(members, "h1", "zabok", 1, start);
            CHECK(membership::state_of(members, "h1", start) == work_state::leaving);
            membership::on_connected(members, "h1", "zabok", 2, start + 1s);
            CHECK(membership::state_of(members, "h1", start + 1s) == work_state::accepting);
            CHECK(membership::warm_up_start(members, "h1") == start + 1s);
        }
        THEN("it is leaving once it is missing from the list")
        {
            membership::apply_host_list(members, {});
            CHECK(membership::state_of(members, "h1", start) == work_state::leaving);
            membership::on_disconnected(members, "h1");
            CHECK(membership::state_of(members, "h1", start) == work_state::unknown);
        }
        THEN("it gets no work while its domain is out, and warms up when the domain returns")
        {
            // Guards against full load on upstreams that became cold while out of service.
            membership::set_domains_out(members, std::vector<std::string>{"zabok"}, start + 1s);
            CHECK(membership::state_of(members, "h1", start + 1s) == work_state::domain_out);
            membership::set_domains_out(members, {}, start + 2s);
            CHECK(membership::state_of(members, "h1", start + 2s) == work_state::accepting);
            CHECK(membership::warm_up_start(members, "h1") == start + 2s);
        }
        THEN("it gets no work while its agent refuses work")
        {
            membership::set_refusing(members, "h1", true);
            CHECK(membership::state_of(members, "h1", start) == work_state::refusing);
        }
    }
    GIVEN("a connected host that is not in the list yet")
    {
        membership::view members;
        membership::on_connected(members, "h2", "zabok", 1, start);
        membership::apply_host_list(members, {});
        THEN("it gets work, since the list lags")
        {
            CHECK(membership::state_of(members, "h2", start) == work_state::accepting);
        }
    }
}

SCENARIO("an agent refuses work while it is leaving or its domain is out")
{
    GIVEN("an agent in zabok")
    {
        membership::agent_state agent{"zabok"};
        CHECK(membership::state_of(agent) == work_state::accepting);
        THEN("it refuses work while its domain is out and restarts the warm-up on return")
        {
            std::vector<std::string> const domains_out = {"krapina", "zabok"};
            CHECK_FALSE(membership::set_domains_out(agent, domains_out, start));
            CHECK(membership::refusal_code(membership::state_of(agent)) ==
                  base::result_code::domain_out);
            CHECK(membership::set_domains_out(agent, {}, start + 1s));
            CHECK(agent.warm_up_start == start + 1s);
            CHECK(membership::state_of(agent) == work_state::accepting);
        }
        THEN("once it is leaving, it refuses work until it ends")
        {
            membership::set_leaving(agent);
            CHECK_FALSE(membership::set_domains_out(agent, {}, start));
            CHECK(membership::refusal_code(membership::state_of(agent)) ==
                  base::result_code::upstream_leaving);
        }
    }
}

SCENARIO(
    "a host that is leaving or whose domain is out runs no new work 5 s after the first entry knew")
{
    // Guards against work from an entry whose host list or configuration lags.
    test::check_property(
        "three entries with lagging lists and missed frames",
        [](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            bool const by_domain = random() % 2 == 0;
            std::vector<std::string> const domains_out = {"zabok"};
            std::vector<membership::listed_host> listed = {{"h1", "zabok", false}};
            std::vector<membership::view> entries(3);
            std::array<base::mono_time, 3> informed_at{};
            std::array<base::mono_time, 3> last_frame_at{start, start, start};
            membership::agent_state agent{"zabok"};
            for (std::size_t i = 0; i < entries.size(); ++i)
            {
                membership::apply_host_list(entries[i], listed);
                membership::on_connected(entries[i], "h1", "zabok", 1, start);
                // Host lists lag by up to 60 s; the configuration spreads with frames, within 1 s.
                informed_at[i] = start + 5s + 1ms * (random() % (by_domain ? 1000 : 60'000));
            }
            auto const first_informed_at =
                *std::min_element(informed_at.begin(), informed_at.end());
            listed.front().leaving = true;
            for (auto now = start; now < start + 80s; now += 100ms)
            {
                for (std::size_t i = 0; i < entries.size(); ++i)
                {
                    auto& entry = entries[i];
                    if (now >= informed_at[i] && by_domain)
                    {
                        membership::set_domains_out(entry, domains_out, now);
                    }
                    else if (now >= informed_at[i])
                    {
                        membership::apply_host_list(entry, listed);
                    }
                    // One frame per second in each direction. A quarter are missed, but no gap
                    // exceeds 3 s, which would close the connection.
                    bool const frame_due = now.time_since_epoch() % 1s == 0s;
                    bool const frame_arrives =
                        frame_due && (random() % 4 != 0 || now >= last_frame_at[i] + 3s);
                    last_frame_at[i] = frame_arrives ? now : last_frame_at[i];
                    if (frame_arrives && membership::must_announce_leaving(entry, "h1"))
                    {
                        membership::set_leaving(agent);
                    }
                    if (frame_arrives && by_domain && entry.domains_out.contains("zabok"))
                    {
                        (void)membership::set_domains_out(agent, domains_out, now);
                    }
                    if (frame_arrives)
                    {
                        membership::on_frame(entry, "h1", now);
                    }
                    auto const state = membership::state_of(entry, "h1", now);
                    RC_ASSERT(now < informed_at[i] || state != work_state::accepting);
                    bool const executes = state == work_state::accepting &&
                                          membership::state_of(agent) == work_state::accepting;
                    RC_ASSERT(!executes || now < first_informed_at + 5s);
                }
            }
        });
}

SCENARIO("a dump contains the state of each host and of the agent")
{
    membership::view members;
    membership::on_connected(members, "h1", "zabok", 1, start);
    CHECK(membership::dump(members, start)["hosts"]["h1"]["state"] == "accepting");
    CHECK(membership::dump(membership::agent_state{"zabok"})["state"] == "accepting");
}
