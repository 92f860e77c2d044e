#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace gooseberrywood::test;
using nlohmann::json;

SCENARIO("a job survives its owner")
{
    site_service service(2);
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}});
    std::vector<int> const events = {4, 4, 4, 4, 100, 120, 4, 4};
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    REQUIRE(eventually([&] { return listed_count(service, 1, "job") >= 4; }));
    auto const before = read_results(service.gateways[1], "job");
    WHEN("the owner is killed")
    {
        send_signal(*service.gateways[0].program, SIGKILL);
        THEN("another gateway completes it, and what was listed stays where it was")
        {
            auto const after = wait_results(service.gateways[1], "job", events.size());
            check_whole(after, "job", events);
            for (std::size_t i = 0; i < before.size(); ++i)
            {
                CHECK(after[i] == before[i]);
            }
        }
    }
    WHEN("the owner is told to stop")
    {
        send_signal(*service.gateways[0].program, SIGTERM);
        THEN("it leaves the text that it has, and ends")
        {
            check_whole(wait_results(service.gateways[1], "job", events.size()), "job", events);
            CHECK(site_state(service).at("resumed").get<int>() >= 2);
            CHECK(wait_exit(*service.gateways[0].program) == 0);
        }
    }
    WHEN("the owner is told to stop while whole texts wait for their scores")
    {
        // Guards against texts that are dropped between their last event and their score.
        set_site(service, "upstream", {{"id", "desk-0"}, {"refuses", true}});
        set_site(service, "upstream", {{"id", "desk-1"}, {"refuses", true}});
        REQUIRE(submit(service.gateways[0], "late", {60, 60}) == 202);
        (void)wait_event(*service.gateways[0].program, "run_complete",
                         [](json const& line) { return line.at("job") == "late"; });
        auto const runs = site_state(service).at("runs").value("late-s0", 0) +
                          site_state(service).at("runs").value("late-s1", 0);
        send_signal(*service.gateways[0].program, SIGTERM);
        (void)wait_event(*service.gateways[1].program, "job_taken_over",
                         [](json const& line) { return line.at("job") == "late"; });
        set_site(service, "upstream", {{"id", "desk-0"}, {"refuses", false}});
        set_site(service, "upstream", {{"id", "desk-1"}, {"refuses", false}});
        THEN("they are scored by the next owner and not generated again")
        {
            check_whole(wait_results(service.gateways[1], "late", 2), "late", {60, 60});
            auto const state = site_state(service);
            CHECK(state.at("runs").value("late-s0", 0) + state.at("runs").value("late-s1", 0) <=
                  runs + 1);
        }
    }
    WHEN("the owner is paused for longer than its lease and wakes again")
    {
        send_signal(*service.gateways[0].program, SIGSTOP);
        auto const after = wait_results(service.gateways[1], "job", events.size());
        send_signal(*service.gateways[0].program, SIGCONT);
        THEN("it changes nothing")
        {
            check_whole(after, "job", events);
            (void)wait_event(*service.gateways[0].program, "lease_lost");
            CHECK(wait_results(service.gateways[0], "job", events.size()) == after);
            CHECK(read_results(service.gateways[1], "job") == after);
        }
    }
}

SCENARIO("a job is submitted to a weak gateway")
{
    // Guards against a small host that runs a job which needs more than its processor time.
    site_service service(1);
    add_gateway(service, 0.1);
    auto const& strong = service.gateways[0];
    auto const& weak = service.gateways[1];
    (void)wait_members(weak, 2);
    std::vector<int> const events = {3, 4, 5, 6, 200, 3, 3, 200};
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}});
    REQUIRE(submit(weak, "job", events) == 202);
    (void)wait_event(*strong.program, "job_taken_over");
    WHEN("the strong one runs it")
    {
        THEN("it is whole at both")
        {
            auto const results = wait_results(weak, "job", events.size());
            check_whole(results, "job", events);
            CHECK(wait_results(strong, "job", events.size()) == results);
        }
    }
    WHEN("the job is ended at the weak one")
    {
        CHECK(call_gateway(weak, "DELETE", "/-/lots/job", "train.example", "e").status == 200);
        THEN("the strong one hears of it at once")
        {
            (void)wait_event(*strong.program, "job_ended_elsewhere");
            CHECK(eventually([&] { return gateway_state(strong).at("jobs").empty(); }));
        }
    }
    WHEN("the strong one is killed")
    {
        send_signal(*strong.program, SIGKILL);
        THEN("the weak one completes it")
        {
            check_whole(wait_results(weak, "job", events.size()), "job", events);
        }
        THEN("so does it with the next job, though the other is still listed as a member")
        {
            REQUIRE(submit(weak, "next", {3, 3}) == 202);
            check_whole(wait_results(weak, "next", 2), "next", {3, 3});
        }
    }
}

SCENARIO("an owner comes back after another one has come and gone")
{
    // Guards against results that are listed a second time by an owner whose runs went on
    // meanwhile.
    site_service service(2);
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}, {"listed", false}});
    (void)wait_event(*service.gateways[0].program, "upstream_removed");
    std::vector<int> const events = {4, 4, 4, 4, 60, 60, 60, 300};
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    REQUIRE(eventually([&] { return listed_count(service, 1, "job") >= 4; }));
    send_signal(*service.gateways[0].program, SIGSTOP);
    // When the first owner wakes, its runs are broken, and it starts them again here at once.
    set_site(service, "upstream", {{"id", "engines-1"}, {"listed", true}});
    REQUIRE(eventually([&] { return listed_count(service, 1, "job") >= 7; }));
    auto const before = read_results(service.gateways[1], "job");
    send_signal(*service.gateways[1].program, SIGKILL);
    // The lease of the second owner ends, so that the first one can claim the job again.
    std::this_thread::sleep_for(std::chrono::milliseconds(2300));
    send_signal(*service.gateways[0].program, SIGCONT);
    auto const after = wait_results(service.gateways[0], "job", events.size());
    check_whole(after, "job", events);
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        CHECK(after[i] == before[i]);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(read_results(service.gateways[0], "job").size() == events.size());
}
