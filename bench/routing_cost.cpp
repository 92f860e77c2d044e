// Cost of a choice, of a credit report and of a change of membership, and memory of the upstream
// table, at 100, 1,000 and 10,000 upstreams on one route (about four a host, as in the design
// scale).

#include "routing/choose.hpp"
#include "routing/claim_home.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <string>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the prefixes and choices");
DEFINE_uint64(repeats, 200000, "choices measured for each figure");

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t upstreams_per_host = 4;
base::mono_time const now{1h};

struct fleet
{
    routing::upstream_table table;
    std::vector<wire::hello> hellos;
    std::vector<routing::agent_session> sessions;
};

wire::credit report_of(std::size_t upstream, std::mt19937_64& random)
{
    auto const running = static_cast<std::uint32_t>(random() % 8);
    return {"upstream-" + std::to_string(upstream), 16, 8, running, 0, 500'000, true};
}

fleet make_fleet(std::size_t upstreams, std::mt19937_64& random)
{
    fleet own;
    for (std::size_t i = 0; i < upstreams; i += upstreams_per_host)
    {
        wire::hello hello;
        hello.host = fmt::format("10.{}.{}.{}", i % 7, i / 4 / 250, i / 4 % 250);
        hello.domain = fmt::format("domain-{}", i / 4 % 9);
        hello.incarnation = random();
        for (std::size_t j = i; j < i + upstreams_per_host; ++j)
        {
            hello.upstreams.push_back({"upstream-" + std::to_string(j), "planner-lm"});
        }
        own.sessions.push_back(routing::connect_agent(own.table, hello));
        for (std::size_t j = i; j < i + upstreams_per_host; ++j)
        {
            routing::apply_credit(own.table, own.sessions.back(), report_of(j, random), now);
        }
        own.hellos.push_back(std::move(hello));
    }
    return own;
}

double nanoseconds_each(std::size_t repeats, auto const& call)
{
    auto const from = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < repeats; ++i)
    {
        call(i);
    }
    std::chrono::duration<double, std::nano> const passed = std::chrono::steady_clock::now() - from;
    return passed.count() / static_cast<double>(repeats);
}

/// A choice with begin and end of the attempt, as each request does; a ring of attempts in flight
/// keeps a load on the table.
double choice_cost(fleet& own, bool with_prefix, std::mt19937_64& random)
{
    std::vector<routing::attempt_ticket> in_flight(own.table.upstreams.size());
    std::vector<bool> used(in_flight.size());
    return nanoseconds_each(FLAGS_repeats,
                            [&](std::size_t i)
                            {
                                auto const slot = i % in_flight.size();
                                if (used[slot])
                                {
                                    routing::end_attempt(own.table, in_flight[slot]);
                                }
                                routing::choice_request wanted{.route = "planner-lm"};
                                if (with_prefix)
                                {
                                    wanted.prefix = random();
                                }
                                auto const chosen = routing::choose(own.table, wanted, now, random);
                                used[slot] = chosen.has_value();
                                if (chosen)
                                {
                                    in_flight[slot] =
                                        routing::begin_attempt(own.table, chosen->upstream);
                                }
                            });
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::mt19937_64 random(FLAGS_seed);
    fmt::print("{:>10}{:>16}{:>16}{:>14}{:>18}{:>18}{:>16}\n", "upstreams", "prefix (ns)",
               "no prefix (ns)", "report (ns)", "reconnect (us)", "domain out (us)",
               "bytes/upstream");
    for (std::size_t const upstreams : {100, 1'000, 10'000})
    {
        auto own = make_fleet(upstreams, random);
        auto const bytes =
            static_cast<double>(routing::memory_bytes(own.table)) / static_cast<double>(upstreams);
        auto const prefix = choice_cost(own, true, random);
        own = make_fleet(upstreams, random);
        auto const plain = choice_cost(own, false, random);
        auto const report = nanoseconds_each(
            FLAGS_repeats,
            [&](std::size_t)
            {
                auto const upstream = random() % upstreams;
                routing::apply_credit(own.table, own.sessions[upstream / upstreams_per_host],
                                      report_of(upstream, random), now);
            });
        auto const reconnect = nanoseconds_each(
            1000,
            [&](std::size_t i)
            {
                auto const host = i % own.hellos.size();
                own.sessions[host] = routing::connect_agent(own.table, own.hellos[host]);
                for (std::size_t j = 0; j < upstreams_per_host; ++j)
                {
                    routing::apply_credit(own.table, own.sessions[host],
                                          report_of(host * upstreams_per_host + j, random), now);
                }
            });
        std::vector<std::string> const out{"domain-4"};
        auto const domain = nanoseconds_each(
            20, [&](std::size_t i)
            { routing::set_domains_out(own.table, std::span(out).first(i % 2 == 0 ? 1 : 0)); });
        fmt::print("{:>10}{:>16.0f}{:>16.0f}{:>14.0f}{:>18.1f}{:>18.1f}{:>16.0f}\n", upstreams,
                   prefix, plain, report, reconnect / 1000, domain / 1000, bytes);
    }

    constexpr std::size_t agent_count = 2'400;
    std::vector<routing::claim_home> agents;
    agents.reserve(agent_count);
    for (std::size_t i = 0; i < agent_count; ++i)
    {
        agents.push_back(
            routing::make_claim_home(fmt::format("host-{}", i), fmt::format("domain-{}", i % 9)));
    }
    std::size_t found = 0;
    auto const claim = nanoseconds_each(
        1000,
        [&](std::size_t) {
            found += routing::choose_claim_homes(agents, {random(), random()}).size();
        });
    fmt::print("homes of a claim among {} agents: {:.1f} us, {} found\n", agent_count, claim / 1000,
               found);
    return 0;
}
