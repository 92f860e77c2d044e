#include "rollout/job_placement.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace gooseberrywood;
using rollout::owner_candidate;

namespace
{

constexpr double strong = 0.5;
constexpr double weak = 0.09;

std::vector<owner_candidate> mixed_hosts()
{
    return {{"strong-1", strong, 0}, {"strong-2", strong, 0}, {"strong-3", strong, 0},
            {"weak-1", weak, 0},     {"weak-2", weak, 0},     {"weak-3", weak, 0}};
}

bool is_strong(owner_candidate const& host)
{
    return host.processors == strong;
}

} // namespace

SCENARIO("trainers submit jobs of a hundred samples to hosts of unequal size")
{
    auto hosts = mixed_hosts();
    WHEN("three trainers have two steps open each")
    {
        // Guards against placing a job on a small host that lacks the processor time for it.
        for (int job = 0; job < 6; ++job)
        {
            auto const owner = rollout::place_job(hosts, 100, "/route-" + std::to_string(job % 3));
            CHECK(is_strong(hosts[owner]));
            hosts[owner].open_samples += 100;
        }
        THEN("no host is overloaded")
        {
            for (auto const& host : hosts)
            {
                CHECK(host.open_samples <= 200);
            }
        }
    }
    WHEN("a trainer submits several steps one after the other")
    {
        // Guards against opening new connections to all upstreams with each step.
        std::set<std::size_t> owners;
        for (int step = 0; step < 10; ++step)
        {
            owners.insert(rollout::place_job(hosts, 100, "/route"));
        }
        THEN("one host runs all of them")
        {
            CHECK(owners.size() == 1);
        }
    }
    WHEN("there are many trainers")
    {
        std::set<std::size_t> owners;
        for (int route = 0; route < 50; ++route)
        {
            owners.insert(rollout::place_job(hosts, 100, "/route-" + std::to_string(route)));
        }
        THEN("all strong hosts get jobs")
        {
            CHECK(owners == std::set<std::size_t>{0, 1, 2});
        }
    }
    WHEN("all strong hosts are busy")
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            hosts[i].open_samples = 1000 + i;
        }
        THEN("a small job goes to a small host that has processor time to spare")
        {
            CHECK_FALSE(is_strong(hosts[rollout::place_job(hosts, 20, "/route")]));
        }
        THEN("a large job goes to the host with the least load per core")
        {
            hosts[3].open_samples = hosts[4].open_samples = hosts[5].open_samples = 200;
            CHECK(rollout::place_job(hosts, 300, "/route") == 0);
        }
    }
    WHEN("the usual host of a route is removed")
    {
        auto const before = rollout::place_job(hosts, 100, "/route");
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(before));
        THEN("another strong host gets its jobs")
        {
            CHECK(is_strong(hosts[rollout::place_job(hosts, 100, "/route")]));
        }
    }
}

SCENARIO("a host that announces no processor time gets no jobs")
{
    std::vector<owner_candidate> const hosts = {{"a", 0, 0}, {"b", 0.2, 90}};
    for (int route = 0; route < 20; ++route)
    {
        CHECK(rollout::place_job(hosts, 10, std::to_string(route)) == 1);
    }
}

SCENARIO("trainers submit their steps at the same moment, each to a different process")
{
    // Regression test: three trainers with jobs of 168 to 288 samples and six hosts with half a
    // core each. Two jobs were placed on one host, which finished all of its 456 samples late and
    // lost its lease.
    std::vector<owner_candidate> hosts;
    for (auto const* const name : {"h1", "h2", "h3", "h4", "h5", "h6"})
    {
        hosts.push_back({name, strong, 0});
    }
    hosts.push_back({"small", weak, 0});
    for (int round = 0; round < 50; ++round)
    {
        std::vector<std::string> trainers;
        trainers.reserve(6);
        for (int i = 0; i < 6; ++i)
        {
            trainers.push_back("model-" + std::to_string(round) + "-" + std::to_string(i));
        }
        std::set<std::size_t> owners;
        for (auto const& trainer : trainers)
        {
            // No process knows yet of the jobs submitted to the others.
            owners.insert(rollout::place_job(hosts, 200, trainer, trainers));
        }
        CHECK(owners.size() == 6);
        CHECK_FALSE(owners.contains(6));
    }
    THEN("more trainers than hosts are spread evenly over the hosts")
    {
        std::vector<std::string> trainers;
        trainers.reserve(12);
        std::map<std::size_t, int> jobs;
        for (int i = 0; i < 12; ++i)
        {
            trainers.push_back("model-" + std::to_string(i));
        }
        for (auto const& trainer : trainers)
        {
            ++jobs[rollout::place_job(hosts, 100, trainer, trainers)];
        }
        CHECK(jobs.size() == 6);
        CHECK(std::all_of(jobs.begin(), jobs.end(),
                          [](auto const& entry) { return entry.second == 2; }));
    }
    THEN("the preferred host of a trainer is not chosen while it is busy")
    {
        std::vector<std::string> const trainers = {"a", "b"};
        auto const preferred = rollout::place_job(hosts, 200, "a", trainers);
        hosts[preferred].open_samples = 200;
        CHECK(rollout::place_job(hosts, 200, "a", trainers) != preferred);
    }
}
