#include "process/support/configured_service.hpp"

#include <doctest/doctest.h>

#include <csignal>

using namespace gooseberrywood;
using namespace gooseberrywood::test;

namespace
{

using std::chrono::steady_clock;

/// Sends keyed and open requests through both entries until a time.
/// \returns those that failed.
std::vector<std::string> load_until(configured_service& s, steady_time end)
{
    std::vector<std::string> failed;
    while (steady_clock::now() < end)
    {
        for (std::size_t i = 0; i < 2; ++i)
        {
            for (auto const& request :
                 {short_completion(s.entry(i), "zlatar-key"), open_request(s.entry(i))})
            {
                auto const outcome = outcome_of(fetch(request));
                if (outcome != "ok")
                {
                    failed.push_back(outcome);
                }
            }
        }
    }
    return failed;
}

std::vector<platform_fault> store_out(std::string const& mode)
{
    return {{"store_read", mode}, {"store_watch", mode}, {"store_compare_and_swap", mode}};
}

constexpr int exit_store = 69;

} // namespace

// Guards against a service that depends on the store, and against an apply that seems to succeed
// without it.
SCENARIO("the store is out and returns")
{
    configured_service s;
    wait_vouching(s);
    constexpr std::chrono::seconds half_outage{4};
    for (std::string const mode : {"refuse", "hang"})
    {
        CAPTURE(mode);
        set_faults(s.processes, {{"*", mode}});
        auto const command = start_command(
            s.processes, {"bundle", "apply", write_bundle(s.processes, "b2.toml", make_bundle(2))});
        CHECK(load_until(s, steady_clock::now() + half_outage) == std::vector<std::string>());
        auto const outcome = wait_outcome(*command);
        CHECK_MESSAGE(outcome.exit_code == exit_store, outcome.output);
        CHECK(outcome.output.find("not written") != std::string::npos);
    }
    set_faults(s.processes, {});
    CHECK(stored_version(s) == 1);
    auto const outcome = apply_bundle(s.processes, make_bundle(2));
    CHECK_MESSAGE(outcome.exit_code == 0, outcome.output);
    CHECK(versions(s) == std::vector<std::uint64_t>(5, 2));
}

// Guards against an entry that can't start without the store, or that starts with an older version.
SCENARIO("an entry restarts while the store is out")
{
    configured_service s;
    REQUIRE(apply_bundle(s.processes, make_bundle(2)).exit_code == 0);
    wait_vouching(s);
    set_faults(s.processes, store_out("refuse"));
    send_signal(*s.entry().program, SIGKILL);
    (void)wait_exit(*s.entry().program);
    restart(s.processes, s.entry());
    CHECK(eventually(
        [&]
        {
            return outcome_of(fetch(short_completion(s.entry(), "kumrovec-key"))) == "ok" &&
                   outcome_of(fetch(open_request(s.entry()))) == "ok";
        }));
    CHECK(versions(s) == std::vector<std::uint64_t>(5, 2));
}

// Guards against an entry that goes on honouring keys which may have been withdrawn meanwhile.
SCENARIO("an entry is cut off from the store and the agents")
{
    configured_service s;
    constexpr int long_stream = 3000;
    auto running_stream =
        read_stream(completion(s.entry(), "zlatar-key", "folio", long_stream, true));
    REQUIRE(eventually(
        [&]
        {
            auto const requests = state_of(s.entry().admin_port).at("requests");
            return !requests.empty() && requests.at(0).at("passed_tokens") > 0;
        }));
    set_faults(s.processes, {{"*", "hang"}});
    for (auto const& a : s.processes.agents)
    {
        send_signal(*a->program, SIGSTOP);
    }
    auto const last_word = steady_clock::now();
    auto const request = short_completion(s.entry(), "zlatar-key");
    auto sent = std::async(std::launch::async, [&] { return outcome_of(fetch(request)); });
    CHECK(eventually(
        [&] { return state_of(s.entry().admin_port).at("serving_keyed_routes") == "stopped"; },
        withdrawal_target));
    CHECK(outcome_of(fetch(request)) == "configuration_stale");
    CHECK(steady_clock::now() - last_word < withdrawal_target);
    // Callers of valid keys must not be told that their key is gone.
    CHECK(running_stream.get().error == "stream_incomplete");
    CHECK(sent.get() == "outcome_unknown");
    // No agent can run it, so it is refused later for want of an upstream.
    CHECK(outcome_of(fetch(open_request(s.entry()))) == "no_upstream");
    for (auto const& a : s.processes.agents)
    {
        send_signal(*a->program, SIGCONT);
    }
    set_faults(s.processes, {});
    CHECK(eventually(
        [&]
        {
            return outcome_of(fetch(request)) == "ok" &&
                   outcome_of(fetch(open_request(s.entry()))) == "ok";
        }));
}
