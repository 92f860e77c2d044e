#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;

namespace
{

constexpr int desks = 6;
constexpr std::size_t crashes_before_refusal = 3;
/// Within this time after the third crash, every gateway must know of it.
constexpr auto known_within = 3s;
/// The rule of the users' platform: so many sends at most after that.
constexpr std::size_t allowed_sends = 3;
// The open route, which is served without a recent list of keys.
constexpr char const* target = "/r/1";

/// Times of all crashes, in order.
std::vector<std::int64_t> crash_times(site_service const& service)
{
    std::vector<std::int64_t> times;
    auto const state = site_state(service);
    for (auto const& upstream : state.at("upstreams"))
    {
        auto const one = upstream.at("crashes_us").get<std::vector<std::int64_t>>();
        times.insert(times.end(), one.begin(), one.end());
    }
    std::sort(times.begin(), times.end());
    return times;
}

/// Number of crashes that happened later after the third than all gateways may take to know of it.
std::size_t late_crashes(std::vector<std::int64_t> const& times)
{
    if (times.size() < crashes_before_refusal)
    {
        return 0;
    }
    auto const limit =
        times[crashes_before_refusal - 1] + std::chrono::microseconds(known_within).count();
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [&](auto time) { return time > limit; }));
}

/// Sends a request of its own; a gateway that is down answers with status 0.
http_response send(gateway_under_test const& at, std::string const& id, std::string const& body)
{
    try
    {
        return call_gateway(at, "POST", target, "desk.example", id, body);
    }
    catch (std::runtime_error const&)
    {
        return {};
    }
}

/// Sends equal requests that crash upstreams, under new ids, to the gateways in turn.
void send_crashing(site_service const& service, std::string const& prefix,
                   std::chrono::milliseconds length)
{
    auto const end = std::chrono::steady_clock::now() + length;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
    {
        auto const& at = service.gateways[static_cast<std::size_t>(i) % service.gateways.size()];
        (void)send(at, fmt::format("{}-{}", prefix, i), "crash");
        std::this_thread::sleep_for(200ms);
    }
}

void check_crashes(site_service const& service)
{
    auto const times = crash_times(service);
    auto const late = late_crashes(times);
    MESSAGE("crashes: ", times.size(), ", late ones: ", late);
    CHECK(times.size() >= crashes_before_refusal);
    CHECK(late <= allowed_sends);
}

std::optional<double> retry_after(http_response const& answer)
{
    for (auto const& [name, value] : answer.headers)
    {
        if (name == "Retry-After")
        {
            return std::strtod(value.c_str(), nullptr);
        }
    }
    return std::nullopt;
}

void set_desks(site_service const& service, nlohmann::json change)
{
    for (int i = 0; i < desks; ++i)
    {
        change["id"] = fmt::format("desk-{}", i);
        set_site(service, "upstream", change);
    }
}

/// Callers of innocent requests, some of them equal, until this is destroyed.
struct innocent_callers
{
    explicit innocent_callers(site_service const& to)
    {
        for (std::size_t i = 0; i < to.gateways.size(); ++i)
        {
            threads.emplace_back([this, &to, i] { call_repeatedly(to.gateways[i], i); });
        }
    }
    innocent_callers(innocent_callers const&) = delete;
    innocent_callers& operator=(innocent_callers const&) = delete;
    ~innocent_callers()
    {
        is_over = true;
        for (auto& thread : threads)
        {
            thread.join();
        }
    }

    void call_repeatedly(gateway_under_test const& at, std::size_t number)
    {
        for (int i = 0; !is_over; ++i)
        {
            auto const id = fmt::format("n{}-{}", number, i);
            auto const answer = send(at, id, i % 2 == 0 ? "equal" : id);
            ++sent;
            served += answer.status == 200 ? 1 : 0;
            std::this_thread::sleep_for(20ms);
        }
    }

    std::atomic<bool> is_over{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
};

} // namespace

SCENARIO("a request that crashes upstreams comes again under new ids at any gateway")
{
    site_service service(4, desks);
    REQUIRE(wait_members(service.gateways[0], 4));
    WHEN("upstreams come back under their ids")
    {
        send_crashing(service, "again", 8s);
        check_crashes(service);
        THEN("it is refused at once, with a true time to come back")
        {
            for (auto const& at : service.gateways)
            {
                auto const answer = send(at, "last", "crash");
                CHECK(answer.status == 503);
                CHECK(answer.body.find("crashing_request") != std::string::npos);
                CHECK(retry_after(answer).value_or(0) > 60);
            }
            CHECK_FALSE(site_state(service).at("runs").contains("last"));
        }
    }
    WHEN("upstreams come back under new ids")
    {
        set_desks(service, {{"renames", true}});
        send_crashing(service, "again", 8s);
        check_crashes(service);
    }
}

SCENARIO("gateways restart while a request crashes upstreams again and again")
{
    site_service service(3, desks);
    REQUIRE(wait_members(service.gateways[0], 3));
    send_crashing(service, "first", 3500ms);
    send_signal(*service.gateways[2].program, SIGKILL);
    add_gateway(service);
    send_crashing(service, "one-restarted", 2s);
    for (auto const& one : service.gateways)
    {
        send_signal(*one.program, SIGKILL);
    }
    add_gateway(service);
    add_gateway(service);
    send_crashing(service, "all-restarted", 2s);
    check_crashes(service);
}

SCENARIO("gateways can't share through the store that a request crashes upstreams")
{
    site_service service(3, desks);
    REQUIRE(wait_members(service.gateways[0], 3));
    REQUIRE(wait_members(service.gateways[1], 3));
    REQUIRE(wait_members(service.gateways[2], 3));
    WHEN("the store refuses all")
    {
        set_site(service, "store", {{"mode", "refuses"}});
        send_crashing(service, "refuses", 6s);
        check_crashes(service);
        THEN("a gateway that starts once the store is back knows it from there")
        {
            auto const before = crash_times(service).size();
            set_site(service, "store", {{"mode", "serves"}});
            std::this_thread::sleep_for(known_within);
            for (auto const& one : service.gateways)
            {
                send_signal(*one.program, SIGKILL);
            }
            add_gateway(service);
            CHECK(send(service.gateways.back(), "back", "crash").status == 503);
            CHECK(crash_times(service).size() == before);
        }
    }
    WHEN("the store loses its answers")
    {
        set_site(service, "store", {{"mode", "loses_answers"}});
        send_crashing(service, "loses", 6s);
        check_crashes(service);
    }
    WHEN("the store turns one gateway away")
    {
        set_site(service, "store", {{"mode", "refuses"}, {"side_door_only", true}});
        // Only this gateway sees crashes at first.
        for (int i = 0; i < 3; ++i)
        {
            (void)send(service.gateways[0], fmt::format("away-{}", i), "crash");
        }
        send_crashing(service, "turned-away", 6s);
        check_crashes(service);
    }
}

SCENARIO("innocent requests run on upstreams that another request crashes")
{
    site_service service(3, desks);
    REQUIRE(wait_members(service.gateways[0], 3));
    // So slow that crashes meet requests in progress.
    set_desks(service, {{"answer_ms", 60}});
    std::vector<int> const events(24, 40);
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    int sent = 0;
    int served = 0;
    {
        innocent_callers const callers(service);
        send_crashing(service, "beside", 6s);
        sent = callers.sent;
        served = callers.served;
    }
    MESSAGE("innocent requests: ", sent, ", served: ", served);
    THEN("they are served, and the job with its rewards is whole")
    {
        check_crashes(service);
        CHECK(served > sent * 9 / 10);
        for (auto const& at : service.gateways)
        {
            CHECK(send(at, "equal-again", "equal").status == 200);
        }
        check_whole(wait_results(service.gateways[1], "job", events.size()), "job", events);
    }
}
