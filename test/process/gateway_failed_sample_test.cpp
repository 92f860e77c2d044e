#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>

#include <csignal>

using namespace gooseberrywood::test;

SCENARIO("a sample that fails at each run is run anew by each owner of its job")
{
    site_service service(2);
    REQUIRE(wait_members(service.gateways[0], 2));
    GIVEN("a sample that has failed once and waits, as its route allows two failures")
    {
        set_site(service, "upstream", {{"id", "engines-0"}, {"fails", 1}, {"refuses", true}});
        set_site(service, "upstream", {{"id", "engines-1"}, {"refuses", true}});
        REQUIRE(submit(service.gateways[0], "job", {4}) == 202);
        (void)wait_event(*service.gateways[0].program, "run_failed");
        WHEN("its job gets another owner, and it fails again")
        {
            send_signal(*service.gateways[0].program, SIGTERM);
            (void)wait_event(*service.gateways[1].program, "job_taken_over");
            set_site(service, "upstream", {{"id", "engines-0"}, {"fails", 10}});
            THEN("it is given up")
            {
                auto const results = wait_results(service.gateways[1], "job", 1);
                CHECK(results.at(0).at("state") == "aborted");
                CHECK(site_state(service).at("runs").at("job-s0") == 2);
            }
        }
    }
}
