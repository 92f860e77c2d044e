#include "process/support/job_checks.hpp"
#include "process/support/kept_connection.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

std::string lookup(std::string const& id)
{
    return fmt::format("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
                       "Deadline-Ms: 9000\r\nAuthorization: Bearer key-1\r\n"
                       "Content-Length: 1\r\n\r\nx",
                       id);
}

/// A caller that uses kept connections until the gateway takes none any more.
struct steady_caller
{
    std::string name;
    /// Requests that got no answer of success, with the status, which is 0 without an answer.
    std::map<std::string, unsigned> unanswered;
    int answered = 0;
    /// Requests that were sent on a connection after an answer that did not announce its close.
    int unannounced = 0;

    void run(std::uint16_t port, std::atomic<bool> const& stopping)
    {
        for (int i = 0;;)
        {
            kept_connection connection(port);
            if (!connection.is_open())
            {
                return;
            }
            while (true)
            {
                auto const id = fmt::format("{}-{}", name, i++);
                bool const is_late = stopping;
                auto const answer = connection.exchange(lookup(id));
                if (answer.status != 200)
                {
                    unanswered[id] = answer.status;
                    break;
                }
                ++answered;
                unannounced += is_late && !answer.announces_close ? 1 : 0;
                if (answer.announces_close)
                {
                    break;
                }
            }
        }
    }
};

} // namespace

SCENARIO("callers use kept connections until a gateway that stops is gone")
{
    // Guards against requests that end without an answer because the gateway closes their
    // connections, and against callers that never hear that it leaves.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    std::atomic<bool> stopping = false;
    std::vector<steady_caller> callers(6);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        callers[i].name = fmt::format("c{}", i);
        threads.emplace_back([&, i] { callers[i].run(gateway.http_port, stopping); });
    }
    std::this_thread::sleep_for(300ms);
    send_signal(*gateway.program, SIGTERM);
    (void)wait_event(*gateway.program, "stopping");
    stopping = true;
    for (auto& thread : threads)
    {
        thread.join();
    }
    CHECK(wait_exit(*gateway.program) == 0);
    auto const runs = site_state(service).at("runs");
    for (auto const& caller : callers)
    {
        CAPTURE(caller.name);
        CHECK(caller.answered > 0);
        CHECK(caller.unannounced == 0);
        for (auto const& one : caller.unanswered)
        {
            CAPTURE(one.first);
            CAPTURE(one.second);
            CHECK_FALSE(runs.contains(one.first));
        }
    }
}

SCENARIO("a gateway stops while connections are kept open without a request")
{
    // Guards against connections that end only with the process.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    kept_connection idle(gateway.http_port);
    REQUIRE(idle.exchange(lookup("first")).status == 200);
    send_signal(*gateway.program, SIGTERM);
    (void)wait_event(*gateway.program, "stopping");
    WHEN("the caller sends no request any more")
    {
        THEN("the connection is closed in order, and the gateway ends")
        {
            CHECK(idle.wait_end(7s) == connection_end::closed);
            CHECK(wait_exit(*gateway.program) == 0);
        }
    }
    WHEN("the caller sends another one")
    {
        auto const answer = idle.exchange(lookup("second"));
        THEN("the answer announces the close")
        {
            CHECK(answer.status == 200);
            CHECK(answer.announces_close);
            CHECK(idle.wait_end(1s) == connection_end::closed);
        }
    }
}

SCENARIO("a request is still at an upstream at the end of the grace time")
{
    // Guards against a connection that is closed with a request on it and no answer.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    change_route(service, "lookup", {{"timeout_ms", 20000}});
    for (auto const* desk : {"desk-0", "desk-1"})
    {
        set_site(service, "upstream", {{"id", desk}, {"silent", true}});
    }
    kept_connection connection(gateway.http_port);
    connection.send(lookup("slow"));
    REQUIRE(eventually([&] { return site_state(service).at("runs").contains("slow"); }));
    send_signal(*gateway.program, SIGTERM);
    (void)wait_event(*gateway.program, "stopping");
    auto const answer = connection.read_answer();
    CHECK(answer.status == 504);
    CHECK(answer.announces_close);
    CHECK(wait_exit(*gateway.program) == 0);
}

SCENARIO("the loop of the gateway is late at the end of the grace time")
{
    // Guards against answers that are queued and never written, since the process ends by times
    // that have passed meanwhile.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    change_route(service, "lookup", {{"timeout_ms", 20000}});
    for (auto const* desk : {"desk-0", "desk-1"})
    {
        set_site(service, "upstream", {{"id", desk}, {"silent", true}});
    }
    std::vector<std::unique_ptr<kept_connection>> connections;
    for (int i = 0; i < 10; ++i)
    {
        connections.push_back(std::make_unique<kept_connection>(gateway.http_port));
        connections.back()->send(lookup(fmt::format("slow-{}", i)));
    }
    REQUIRE(eventually([&] { return site_state(service).at("runs").contains("slow-9"); }));
    send_signal(*gateway.program, SIGTERM);
    (void)wait_event(*gateway.program, "stopping");
    // The process uses 7 s of the grace time for requests.
    std::this_thread::sleep_for(6500ms);
    send_signal(*gateway.program, SIGSTOP);
    std::this_thread::sleep_for(1400ms);
    send_signal(*gateway.program, SIGCONT);
    for (auto const& connection : connections)
    {
        CHECK(connection->read_answer().status == 504);
    }
    CHECK(wait_exit(*gateway.program) == 0);
}

namespace
{

/// A caller whose request is complete only late in the grace time of a gateway that stops.
struct late_caller
{
    std::string id;
    std::chrono::milliseconds delay{};
    kept_answer answer;

    /// \param stopped_at when the gateway began to stop.
    void run(std::uint16_t port, std::chrono::steady_clock::time_point stopped_at)
    {
        kept_connection connection(port);
        auto const request = lookup(id);
        connection.send(std::string_view(request).substr(0, request.size() - 1));
        std::this_thread::sleep_until(stopped_at + delay);
        answer = connection.exchange(std::string_view(request).substr(request.size() - 1));
    }
};

} // namespace

SCENARIO("requests are complete only at the end of the grace time")
{
    // Guards against requests that are passed on and then cut without an answer.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    change_route(service, "lookup", {{"timeout_ms", 20000}});
    for (auto const* desk : {"desk-0", "desk-1"})
    {
        set_site(service, "upstream", {{"id", desk}, {"silent", true}});
    }
    auto const stopped_at = std::chrono::steady_clock::now() + 300ms;
    // The grace time is 8 s, and the process uses 7 s of it for requests.
    std::vector<late_caller> callers(120);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        callers[i].id = fmt::format("late-{}", i);
        callers[i].delay = 6500ms + i * 10ms;
        threads.emplace_back([&, i] { callers[i].run(gateway.http_port, stopped_at); });
    }
    std::this_thread::sleep_until(stopped_at);
    send_signal(*gateway.program, SIGTERM);
    for (auto& thread : threads)
    {
        thread.join();
    }
    CHECK(wait_exit(*gateway.program) == 0);
    auto const runs = site_state(service).at("runs");
    int answered = 0;
    for (auto const& caller : callers)
    {
        CAPTURE(caller.id);
        CAPTURE(caller.answer.status);
        bool const ran = runs.contains(caller.id);
        CHECK((!ran || caller.answer.status == 504));
        CHECK((ran || caller.answer.status == 503 || caller.answer.status == 0));
        answered += caller.answer.status != 0 ? 1 : 0;
    }
    CHECK(answered > 60);
}

namespace
{

/// Sends a lookup on each connection while the gateway stands still, so that the time of their
/// limit passes before it reads them.
void send_while_stopped(gateway_under_test const& gateway,
                        std::vector<std::unique_ptr<kept_connection>> const& connections)
{
    send_signal(*gateway.program, SIGSTOP);
    for (std::size_t i = 0; i < connections.size(); ++i)
    {
        connections[i]->send(lookup(fmt::format("late-{}", i)));
    }
    std::this_thread::sleep_for(2400ms);
    send_signal(*gateway.program, SIGCONT);
}

} // namespace

SCENARIO("requests arrive on kept connections while the loop of the gateway is late")
{
    // Guards against whole requests that get neither an answer nor a refusal because the limit of
    // idle time passes before they are read.
    site_service service(1, 4);
    auto const& gateway = service.gateways[0];
    change_limits(service, {{"idle_timeout_ms", 6000}});
    std::vector<std::unique_ptr<kept_connection>> connections;
    for (int i = 0; i < 160; ++i)
    {
        connections.push_back(std::make_unique<kept_connection>(gateway.http_port));
        REQUIRE(connections.back()->exchange(lookup(fmt::format("first-{}", i))).status == 200);
    }
    std::this_thread::sleep_for(4000ms);
    send_while_stopped(gateway, connections);
    int answered = 0;
    for (auto const& connection : connections)
    {
        answered += connection->read_answer().status != 0 ? 1 : 0;
    }
    CHECK(answered == 160);
}
