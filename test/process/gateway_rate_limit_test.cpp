#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr std::int64_t window_us = 4'000'000;
// Time after the first statement of a limit from which it must be kept.
constexpr auto settle_time = 3s;

/// Callers that send lookups to gateways, as fast as they are answered, until this is destroyed.
struct flood
{
    explicit flood(site_service const& to)
    {
        for (std::size_t i = 0; i < to.gateways.size(); ++i)
        {
            callers.emplace_back([this, &to, i] { call_repeatedly(to.gateways[i], i); });
        }
    }
    flood(flood const&) = delete;
    flood& operator=(flood const&) = delete;
    ~flood()
    {
        is_over = true;
        for (auto& caller : callers)
        {
            caller.join();
        }
    }

    void call_repeatedly(gateway_under_test const& at, std::size_t number)
    {
        for (int i = 0; !is_over; ++i)
        {
            try
            {
                auto const id = fmt::format("f{}-{}", number, i);
                auto const answer = call_gateway(at, "POST", "/q/1", "desk.example", id);
                answered += answer.status == 200 ? 1 : 0;
            }
            catch (std::runtime_error const&)
            {
                // The gateway is down.
                std::this_thread::sleep_for(20ms);
            }
            std::this_thread::sleep_for(5ms);
        }
    }

    std::atomic<bool> is_over = false;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
};

void limit_desks(site_service const& service, double requests_per_s)
{
    for (auto const* id : {"desk-0", "desk-1"})
    {
        set_site(service, "upstream", {{"id", id}, {"rate_limit", requests_per_s}});
    }
}

/// Largest number of requests that arrived at an upstream within 4 s.
int most_arrivals(site_service const& service, std::string const& id)
{
    auto const arrivals =
        upstream_state(service, id).at("arrivals_us").get<std::vector<std::int64_t>>();
    std::ptrdiff_t most = 0;
    for (auto it = arrivals.begin(); it != arrivals.end(); ++it)
    {
        most = std::max(most, std::upper_bound(it, arrivals.end(), *it + window_us) - it);
    }
    return static_cast<int>(most);
}

void forget_arrivals(site_service const& service)
{
    for (auto const* id : {"desk-0", "desk-1", "engines-0", "engines-1"})
    {
        set_site(service, "upstream", {{"id", id}, {"forget_arrivals", true}});
    }
}

void check_limit_kept(site_service const& service, double requests_per_s)
{
    auto const allowed = static_cast<int>(1.5 * requests_per_s * 4) + 5;
    for (auto const* id : {"desk-0", "desk-1"})
    {
        CHECK(most_arrivals(service, id) <= allowed);
    }
}

} // namespace

SCENARIO("upstreams that state a rate limit get no more from all gateways together")
{
    constexpr double limit = 2;
    site_service service(4);
    REQUIRE(wait_members(service.gateways[0], 4));
    // Gateways issue permits once they have known the members for a while.
    std::this_thread::sleep_for(2500ms);
    limit_desks(service, limit);
    flood callers(service);
    std::this_thread::sleep_for(settle_time);
    forget_arrivals(service);
    callers.answered = 0;
    WHEN("all gateways live")
    {
        std::this_thread::sleep_for(6s);
        check_limit_kept(service, limit);
        THEN("most of what the limit allows is used")
        {
            CHECK(callers.answered >= static_cast<int>(limit * 2 * 6 / 2));
        }
        THEN("the limit no longer applies once the upstreams state none")
        {
            limit_desks(service, 0);
            callers.answered = 0;
            CHECK(eventually([&] { return callers.answered > 200; }));
        }
    }
    WHEN("a gateway is killed and another one takes its place")
    {
        send_signal(*service.gateways[3].program, SIGKILL);
        std::this_thread::sleep_for(6s);
        THEN("the limit is kept")
        {
            check_limit_kept(service, limit);
            CHECK(callers.answered > 0);
        }
    }
    WHEN("the store is down")
    {
        set_site(service, "store", {{"mode", "refuses"}});
        std::this_thread::sleep_for(6s);
        THEN("the limit is kept")
        {
            check_limit_kept(service, limit);
        }
    }
    WHEN("one gateway is paused and wakes again")
    {
        send_signal(*service.gateways[2].program, SIGSTOP);
        std::this_thread::sleep_for(3s);
        send_signal(*service.gateways[2].program, SIGCONT);
        std::this_thread::sleep_for(4s);
        THEN("the limit is kept")
        {
            check_limit_kept(service, limit);
        }
    }
}

SCENARIO("an engine that states a rate limit gets no burst of samples")
{
    constexpr double limit = 1;
    site_service service(2);
    std::this_thread::sleep_for(2500ms);
    set_site(service, "upstream", {{"id", "engines-0"}, {"rate_limit", limit}});
    // The samples that are sent first tell the gateway of the limit.
    REQUIRE(submit(service.gateways[0], "first", std::vector<int>(8, 3)) == 202);
    (void)wait_results(service.gateways[0], "first", 8);
    std::this_thread::sleep_for(settle_time);
    forget_arrivals(service);
    std::vector<int> const events(40, 20);
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    check_whole(wait_results(service.gateways[0], "job", events.size()), "job", events);
    CHECK(most_arrivals(service, "engines-0") <= static_cast<int>(1.5 * limit * 4) + 5);
    THEN("the other engine runs most of them")
    {
        CHECK(upstream_state(service, "engines-1").at("arrivals_us").size() >= 28);
    }
}
