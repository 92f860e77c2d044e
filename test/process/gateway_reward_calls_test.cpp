#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;

namespace
{

bool has_run(site_service const& service, std::string const& id)
{
    return site_state(service).at("runs").contains(id);
}

} // namespace

SCENARIO("the only upstream of the rewards breaks off a call and serves again at once")
{
    // Guards against a call that leaves out the upstream on which it broke off until the time-out
    // of its route.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    set_site(service, "upstream", {{"id", "desk-1"}, {"listed", false}});
    (void)wait_event(*gateway.program, "upstream_removed");
    set_site(service, "upstream", {{"id", "desk-0"}, {"breaks_off", true}});
    std::vector<int> const events = {3};
    REQUIRE(submit(gateway, "job", events) == 202);
    REQUIRE(eventually([&] { return has_run(service, "job-s0-score"); }));
    set_site(service, "upstream", {{"id", "desk-0"}, {"breaks_off", false}});
    auto const back_at = std::chrono::steady_clock::now();
    check_whole(wait_results(gateway, "job", events.size()), "job", events);
    CHECK(std::chrono::steady_clock::now() - back_at < 2s);
}

SCENARIO("all upstreams of the rewards break off calls again and again")
{
    // Guards against samples that are given up, or never scored, for what their upstreams did.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    auto const set_desks = [&](bool breaks_off)
    {
        for (auto const* desk : {"desk-0", "desk-1"})
        {
            set_site(service, "upstream", {{"id", desk}, {"breaks_off", breaks_off}});
        }
    };
    set_desks(true);
    std::vector<int> const events = {3, 4, 5, 6};
    REQUIRE(submit(gateway, "job", events) == 202);
    std::this_thread::sleep_for(4s);
    CHECK(listed_count(service, 0, "job") == 0);
    set_desks(false);
    auto const back_at = std::chrono::steady_clock::now();
    check_whole(wait_results(gateway, "job", events.size()), "job", events);
    CHECK(std::chrono::steady_clock::now() - back_at < 6s);
}
