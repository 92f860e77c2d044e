#include "base/time.hpp"
#include "process/support/configured_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace gooseberrywood;
using namespace gooseberrywood::test;

namespace
{

using std::chrono::steady_clock;

/// Time left of a span that began earlier; 0 when it has passed.
std::chrono::milliseconds left(steady_time begin, std::chrono::milliseconds span)
{
    auto const rest =
        std::chrono::duration_cast<std::chrono::milliseconds>(begin + span - steady_clock::now());
    return std::max(rest, std::chrono::milliseconds(0));
}

std::int64_t wall_us()
{
    return base::micros(base::wall_now());
}

/// The latest start of an execution on a host's engine, in Unix microseconds.
std::int64_t last_start(agent_host const& at)
{
    std::int64_t last = 0;
    for (auto const& e : executions(*at.upstreams[0]))
    {
        last = std::max(last, e.at("started_wall_us").get<std::int64_t>());
    }
    return last;
}

/// Sends requests through both entries until a time.
/// \returns those that failed.
std::vector<std::string> load_until(configured_service& s, std::int64_t end_us)
{
    std::vector<std::string> failed;
    while (wall_us() < end_us)
    {
        for (std::size_t i = 0; i < 2; ++i)
        {
            auto const prompt = fmt::format("quire {}", wall_us());
            auto const outcome =
                outcome_of(fetch(completion(s.entry(i), "zlatar-key", prompt, 2, false)));
            if (outcome != "ok")
            {
                failed.push_back(outcome);
            }
        }
    }
    return failed;
}

/// Starts streams until a host's engine runs one.
std::vector<std::future<stream_end>> streams_on(configured_service& s, agent_host const& host,
                                                int tokens)
{
    std::vector<std::future<stream_end>> streams;
    constexpr std::size_t enough = 20;
    while (running(host) == 0)
    {
        REQUIRE(streams.size() < enough);
        auto const before = running(s.agent(0)) + running(s.agent(1)) + running(s.agent(2));
        streams.push_back(read_stream(completion(
            s.entry(), "zlatar-key", fmt::format("folio {}", streams.size()), tokens, true)));
        REQUIRE(eventually(
            [&]
            { return running(s.agent(0)) + running(s.agent(1)) + running(s.agent(2)) > before; }));
    }
    return streams;
}

constexpr std::int64_t us_per_s = 1'000'000;

// Requests go on for this long after the target, so that late work would be seen.
constexpr std::int64_t watched_us = 2 * us_per_s;

constexpr std::int64_t target_us = withdrawal_target.count() * us_per_s;

} // namespace

// Guards against a withdrawn key that goes on working where it is in use already (invariant 6).
SCENARIO("a key is withdrawn while it is in use")
{
    configured_service s;
    constexpr int long_stream = 3000;
    constexpr int other_stream = 800;
    auto withdrawn = read_stream(completion(s.entry(), "kumrovec-key", "a", long_stream, true));
    auto other = read_stream(completion(s.entry(), "zlatar-key", "b", other_stream, true));
    REQUIRE(eventually(
        [&] { return running(s.agent(0)) + running(s.agent(1)) + running(s.agent(2)) == 2; }));
    open_connection const connection;
    auto const request = short_completion(s.entry(), "kumrovec-key");
    auto const before = fetch(connection, request);
    REQUIRE(outcome_of(before) == "ok");

    auto const command = start_command(
        s.processes, {"bundle", "apply", write_bundle(s.processes, "b2.toml", make_bundle(2, ""))});
    wait_output(*command, "writing");
    // Taken before the store can have accepted the write.
    auto const begin = steady_clock::now();
    wait_output(*command, "accepted");

    base::result<http_response> after;
    CHECK(eventually(
        [&]
        {
            after = fetch(connection, request);
            return outcome_of(after) == "key_unknown";
        },
        left(begin, withdrawal_target)));
    CHECK(after->connection == before->connection);
    CHECK(outcome_of(fetch(connection, short_completion(s.entry(1), "kumrovec-key"))) ==
          "key_unknown");
    auto const end = withdrawn.get();
    CHECK(end.error == "key_withdrawn");
    CHECK_FALSE(end.done);
    CHECK(end.at - begin < withdrawal_target);
    auto const outcome = wait_outcome(*command);
    CHECK_MESSAGE(outcome.exit_code == 0, outcome.output);
    CHECK(steady_clock::now() - begin < in_effect_target);
    CHECK(outcome.output.find("version 2 is in effect in 5 processes") != std::string::npos);
    CHECK(other.get().done);
}

// Guards against work that still starts in a domain that is out (invariant 11), against cut-off
// requests when it goes, and against a domain that never comes back.
SCENARIO("a failure domain is taken out and in again")
{
    configured_service s;
    auto& host = s.agent(1);
    constexpr int tokens = 900;
    auto streams = streams_on(s, host, tokens);
    auto const command = start_command(s.processes, {"domain", "out", "zabok"});
    wait_output(*command, "accepted");
    auto const accepted_us = wall_us();
    CHECK(load_until(s, accepted_us + target_us + watched_us) == std::vector<std::string>());
    CHECK(last_start(host) <= accepted_us + target_us);
    for (auto& stream : streams)
    {
        CHECK(stream.get().done);
    }
    CHECK(wait_outcome(*command).exit_code == 0);

    auto const in = run_command(s.processes, {"domain", "in", "zabok"});
    CHECK_MESSAGE(in.exit_code == 0, in.output);
    auto const returned_us = wall_us();
    CHECK(eventually(
        [&]
        {
            CHECK(load_until(s, wall_us() + 1) == std::vector<std::string>());
            return last_start(host) > returned_us;
        }));
}

// Guards against a domain command that takes effect on a mistyped name, or that takes everything
// out by mistake.
SCENARIO("a domain command that makes no sense changes nothing")
{
    configured_service s;
    auto const unknown = run_command(s.processes, {"domain", "out", "zabbok"});
    CHECK(unknown.exit_code == 4);
    CHECK(unknown.output.find("krapina, zabok, oroslavje") != std::string::npos);
    CHECK(run_command(s.processes, {"domain", "out", "zabok"}).exit_code == 0);
    CHECK(run_command(s.processes, {"domain", "out", "krapina"}).exit_code == 0);
    auto const last = run_command(s.processes, {"domain", "out", "oroslavje"});
    CHECK(last.exit_code == 2);
    CHECK(last.output.find("--force") != std::string::npos);
    CHECK(stored_version(s) == 3);
}

// Guards against work for a host that the platform is about to take back (invariant 15).
SCENARIO("a host is listed as leaving")
{
    configured_service s;
    auto& host = s.agent(2);
    host.leaving = true;
    list_hosts(s.processes);
    auto const listed_us = wall_us();
    CHECK(load_until(s, listed_us + target_us + watched_us) == std::vector<std::string>());
    CHECK(last_start(host) <= listed_us + target_us);
}

// Guards against a change that is reported as failed, or made twice, when only the answer is lost.
SCENARIO("the answer to the write is lost after its effect")
{
    configured_service s;
    set_faults(s.processes, {{"store_compare_and_swap", "drop", 1}});
    auto const outcome = apply_bundle(s.processes, make_bundle(2));
    CHECK_MESSAGE(outcome.exit_code == 0, outcome.output);
    CHECK(outcome.output.find("version 2 is in effect in 5 processes") != std::string::npos);
    CHECK(stored_version(s) == 2);
    CHECK(versions(s) == std::vector<std::uint64_t>(5, 2));
}

// Guards against two operators who both believe that their bundle is the one in effect.
SCENARIO("two operators apply at once")
{
    configured_service s;
    // Both have read and announced before either write takes effect.
    set_faults(s.processes,
               {{"store_compare_and_swap", "slow", -1, std::chrono::milliseconds(500)}});
    auto const first =
        start_command(s.processes, {"bundle", "apply",
                                    write_bundle(s.processes, "b1.toml", make_bundle(2, "one"))});
    auto const second =
        start_command(s.processes, {"bundle", "apply",
                                    write_bundle(s.processes, "b2.toml", make_bundle(2, "two"))});
    auto const outcomes = std::vector{wait_outcome(*first), wait_outcome(*second)};
    auto const& winner = outcomes[0].exit_code == 0 ? outcomes[0] : outcomes[1];
    auto const& loser = outcomes[0].exit_code == 0 ? outcomes[1] : outcomes[0];
    CHECK_MESSAGE(winner.exit_code == 0, winner.output);
    CHECK_MESSAGE(loser.exit_code == 9, loser.output);
    CHECK_MESSAGE(loser.output.find("store holds version 2") != std::string::npos, loser.output);
    CHECK(versions(s) == std::vector<std::uint64_t>(5, 2));
    auto const winning_key = outcomes[0].exit_code == 0 ? "one" : "two";
    auto const losing_key = outcomes[0].exit_code == 0 ? "two" : "one";
    CHECK(outcome_of(fetch(short_completion(s.entry(), winning_key))) == "ok");
    CHECK(outcome_of(fetch(short_completion(s.entry(), losing_key))) == "key_unknown");
}

// Guards against a version that is written over one that the operator has not seen.
SCENARIO("the store holds another version than expected")
{
    configured_service s;
    auto const path = write_bundle(s.processes, "b2.toml", make_bundle(2));
    auto const outcome = run_command(s.processes, {"bundle", "apply", path, "--expect", "7"});
    CHECK(outcome.exit_code == 9);
    CHECK(outcome.output.find("store holds version 1") != std::string::npos);
    CHECK(stored_version(s) == 1);
    CHECK(run_command(s.processes, {"bundle", "apply", path, "--expect", "1"}).exit_code == 0);
}
