#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;

namespace
{

std::vector<int> const events = {3, 3, 3, 3};

std::string score_id(std::string const& job, std::size_t sample)
{
    return fmt::format("{}-s{}-score", job, sample);
}

/// How often the reward calls of a job reached an upstream.
int count_score_runs(site_service const& service, std::string const& job)
{
    auto const runs = site_state(service).at("runs");
    int count = 0;
    for (std::size_t i = 0; i < events.size(); ++i)
    {
        count += runs.value(score_id(job, i), 0);
    }
    return count;
}

/// Starts a job whose reward calls are all held by an upstream that is silent, while the other one
/// is full.
void hold_rewards(site_service& service, std::string const& job)
{
    change_route(service, "reward", {{"timeout_ms", 20000}});
    set_site(service, "upstream", {{"id", "desk-0"}, {"silent", true}});
    set_site(service, "upstream", {{"id", "desk-1"}, {"refuses", true}});
    REQUIRE(submit(service.gateways[0], job, events) == 202);
    auto const all = static_cast<int>(events.size());
    REQUIRE(eventually([&] { return count_score_runs(service, job) == all; }));
}

/// The upstream that holds the calls breaks them off, and the other one takes requests again.
void release_rewards(site_service const& service)
{
    set_site(service, "upstream", {{"id", "desk-1"}, {"refuses", false}});
    set_site(service, "upstream", {{"id", "desk-0"}, {"silent", false}, {"drops_held", true}});
}

unsigned end_job(gateway_under_test const& at, std::string const& job)
{
    return call_gateway(at, "DELETE", "/-/lots/" + job, "train.example", "end").status;
}

} // namespace

SCENARIO("a job ends while its reward calls wait for an upstream that breaks off")
{
    // Guards against reward calls that are sent again after the end of their job.
    site_service service(2);
    hold_rewards(service, "job");
    auto const before = count_score_runs(service, "job");
    WHEN("it is ended at its owner")
    {
        REQUIRE(end_job(service.gateways[0], "job") == 200);
    }
    WHEN("it is ended at another gateway")
    {
        REQUIRE(end_job(service.gateways[1], "job") == 200);
        std::this_thread::sleep_for(1s);
    }
    release_rewards(service);
    std::this_thread::sleep_for(1500ms);
    CHECK(count_score_runs(service, "job") == before);
}

SCENARIO("the owner of a job stops while its reward calls wait for an upstream that breaks off")
{
    // Guards against reward calls that two gateways make for the same job.
    site_service service(2);
    hold_rewards(service, "job");
    auto const before = count_score_runs(service, "job");
    send_signal(*service.gateways[0].program, SIGTERM);
    (void)wait_event(*service.gateways[0].program, "stopping");
    release_rewards(service);
    check_whole(wait_results(service.gateways[1], "job", events.size()), "job", events);
    auto const all = static_cast<int>(events.size());
    CHECK(count_score_runs(service, "job") == before + all);
}

SCENARIO("the owner of a job can't read whether it has ended")
{
    // Guards against reward calls of a job whose end nobody could tell its owner.
    site_service service(1);
    hold_rewards(service, "job");
    auto const before = count_score_runs(service, "job");
    set_site(service, "store", {{"mode", "refuses"}});
    std::this_thread::sleep_for(3500ms);
    release_rewards(service);
    std::this_thread::sleep_for(1s);
    CHECK(count_score_runs(service, "job") == before);
    set_site(service, "store", {{"mode", "serves"}});
    check_whole(wait_results(service.gateways[0], "job", events.size()), "job", events);
}
