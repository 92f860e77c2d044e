#include "http/connection_check.hpp"
#include "http/connection_close.hpp"
#include "http/server.hpp"
#include "raw_client.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <string_view>
#include <thread>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view request = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
constexpr std::string_view begun_head = request.substr(0, 20);
constexpr std::string_view begun_body = request.substr(0, request.size() - 1);

/// A server that answers at once, and whose connections may be idle for a short time only.
struct impatient_server
{
    impatient_server()
    {
        http::server_options options;
        options.limits.idle_timeout = 200ms;
        options.limits.head_timeout = 200ms;
        auto made = http::serve(
            "127.0.0.1:0",
            [this](std::shared_ptr<http::exchange> const& exchange)
            {
                ++handled;
                http::respond(*exchange, 200, "text/plain", "answer");
            },
            std::move(options));
        REQUIRE(made.has_value());
        server = std::move(*made);
    }

    /// The check of connections runs before the sockets are read, as it may when the loop is late.
    void check_now() const
    {
        http::check_connections(*server->connections, base::mono_now());
    }

    std::unique_ptr<http::server> server;
    int handled = 0;
};

/// The loop stands still while time passes.
void stand_still()
{
    std::this_thread::sleep_for(250ms);
}

} // namespace

SCENARIO("a request waits unread when the time of its connection is up")
{
    // Guards against whole requests that get neither an answer nor a refusal, since their
    // connection is closed for idleness, want of room or a stop while the loop is late.
    impatient_server served;
    test::raw_client client(served.server->listening->port);
    auto const is_answered = [&]
    {
        return test::run_until([&]
                               { return client.has_received("answer") || client.has_ended(); }) &&
               client.has_received("answer");
    };
    GIVEN("a kept connection that was idle for less than the limit")
    {
        client.send(request);
        REQUIRE(is_answered());
        client.received.clear();
        WHEN("the limit passes before the request is read")
        {
            client.send(request);
            stand_still();
            served.check_now();
            CHECK(is_answered());
        }
        WHEN("the limit passes before the first bytes are read, and the rest follows")
        {
            client.send(begun_body);
            stand_still();
            served.check_now();
            client.send(request.substr(begun_body.size()));
            CHECK(is_answered());
        }
        WHEN("there is no room for another connection")
        {
            client.send(request);
            std::this_thread::sleep_for(1100ms);
            CHECK_FALSE(http::shed_stalled(*served.server->connections, nullptr, "no room",
                                           base::mono_now()));
            CHECK(is_answered());
        }
        WHEN("the server closes its idle connections")
        {
            client.send(request);
            http::close_idle_connections(*served.server);
            CHECK(is_answered());
        }
        WHEN("the server closes all connections without an answer in progress")
        {
            client.send(request);
            http::close_unanswered_connections(*served.server);
            CHECK(is_answered());
        }
    }
    GIVEN("a request of which a part was read")
    {
        WHEN("the rest of the head waits when its time is up")
        {
            client.send(begun_head);
            test::run_for(50ms);
            served.check_now();
            client.send(request.substr(begun_head.size()));
            stand_still();
            served.check_now();
            CHECK(is_answered());
        }
        WHEN("the rest of the body waits when its time is up")
        {
            client.send(begun_body);
            test::run_for(50ms);
            client.send(request.substr(begun_body.size()));
            stand_still();
            served.check_now();
            CHECK(is_answered());
        }
    }
    CHECK(served.handled >= 1);
}

SCENARIO("a server that stops refuses a request that has not arrived whole")
{
    // Guards against a refusal that is lost because the connection is reset while its client sends.
    impatient_server served;
    test::raw_client client(served.server->listening->port);
    client.send(begun_body);
    test::run_for(50ms);
    http::close_unanswered_connections(*served.server);
    http::close_unanswered_connections(*served.server);
    CHECK(served.server->connections->open.size() == 1);
    client.send(request.substr(begun_body.size()));
    CHECK(test::run_until([&] { return client.has_received("503") || client.has_ended(); }));
    CHECK(client.has_received("503"));
    CHECK(served.handled == 0);
}

SCENARIO("a client stays idle for longer than the limit")
{
    // Guards against connections that are kept for a client that sends nothing, or not all.
    impatient_server served;
    test::raw_client client(served.server->listening->port);
    auto const is_ended = [&]
    {
        return test::run_until([&] { return client.has_ended(); });
    };
    WHEN("it has sent nothing")
    {
        CHECK(is_ended());
    }
    WHEN("it has its answer")
    {
        client.send(request);
        CHECK(test::run_until([&] { return client.has_received("answer"); }));
        CHECK(is_ended());
    }
    WHEN("it has sent a part of a head")
    {
        client.send(begun_head);
        CHECK(test::run_until([&] { return client.has_received("408"); }));
    }
    WHEN("it has sent a part of a body")
    {
        client.send(begun_body);
        CHECK(test::run_until([&] { return client.has_received("408"); }));
    }
    CHECK(served.handled <= 1);
}

SCENARIO("a connection is closed over what was not read")
{
    // Guards against requests that are served although their connection is closed, so that they run
    // and nobody hears of it.
    impatient_server served;
    test::raw_client client(served.server->listening->port);
    test::run_for(50ms);
    auto& table = *served.server->connections;
    REQUIRE(table.open.size() == 1);
    auto& connection = table.open.begin()->second;
    client.send(request);
    WHEN("it is closed before the request is read")
    {
        http::close_connection(connection, http::close_reason::stopping);
    }
    WHEN("a part of another request waits behind it")
    {
        client.send(begun_head);
        http::close_connection(connection, http::close_reason::stopping);
    }
    CHECK(test::run_until([&] { return table.open.empty(); }));
    CHECK(served.handled == 0);
}

SCENARIO("a connection with a request on it is closed for want of room")
{
    // Guards against requests that get neither an answer nor a refusal because others need the
    // room.
    std::shared_ptr<http::exchange> held;
    auto const server = http::serve(
        "127.0.0.1:0", [&](std::shared_ptr<http::exchange> const& exchange) { held = exchange; });
    REQUIRE(server.has_value());
    auto& table = *(*server)->connections;
    test::raw_client client((*server)->listening->port);
    auto const is_shed_after_a_second = [&]
    {
        test::run_for(1300ms);
        return http::shed_stalled(table, nullptr, "no room", base::mono_now()) &&
               test::run_until([&] { return client.has_ended(); });
    };
    WHEN("a part of its head was read")
    {
        client.send(begun_head);
        REQUIRE(is_shed_after_a_second());
        CHECK(client.has_received("HTTP/1.1 503"));
    }
    WHEN("a part of its body was read")
    {
        client.send(begun_body);
        REQUIRE(is_shed_after_a_second());
        CHECK(client.has_received("HTTP/1.1 503"));
    }
    WHEN("it runs, and another one waits behind it")
    {
        client.send(request);
        REQUIRE(test::run_until([&] { return held != nullptr; }));
        client.send(request);
        REQUIRE(is_shed_after_a_second());
        CHECK(client.has_received("HTTP/1.1 502"));
    }
    WHEN("its answer has begun, and another one waits behind it")
    {
        client.send(request);
        REQUIRE(test::run_until([&] { return held != nullptr; }));
        client.send(request);
        http::begin_stream(*held, 200, "text/plain", {});
        REQUIRE(http::append_stream(*held, "a part"));
        REQUIRE(is_shed_after_a_second());
        CHECK(client.has_received("a part"));
        CHECK_FALSE(client.has_received("HTTP/1.1 502"));
    }
    // Before the server ends.
    held.reset();
}

SCENARIO("a part of the next request arrives with one that takes long")
{
    // Guards against a request whose connection is closed before its answer, because the head
    // behind it was not read to its end in time.
    std::shared_ptr<http::exchange> held;
    http::server_options options;
    options.limits.head_timeout = 100ms;
    auto const server = http::serve(
        "127.0.0.1:0", [&](std::shared_ptr<http::exchange> const& exchange) { held = exchange; },
        std::move(options));
    REQUIRE(server.has_value());
    test::raw_client client((*server)->listening->port);
    client.send(std::string(request) + std::string(begun_head));
    REQUIRE(test::run_until([&] { return held != nullptr; }));
    // Longer than a client gets to read the answer to a rejected request.
    test::run_for(2700ms);
    http::respond(*held, 200, "text/plain", "answer");
    CHECK(test::run_until([&] { return client.has_received("answer") || client.has_ended(); }));
    CHECK(client.has_received("answer"));
}

SCENARIO("the limit of idle time changes while a connection is idle")
{
    // Guards against connections that are closed, beside a change of the configuration, earlier
    // than their clients were promised.
    impatient_server served;
    auto& table = *served.server->connections;
    auto limits = table.limits;
    WHEN("it becomes shorter")
    {
        limits.idle_timeout = 10s;
        http::set_limits(table, limits);
        test::raw_client client(served.server->listening->port);
        client.send(request);
        REQUIRE(test::run_until([&] { return client.has_received("answer"); }));
        client.received.clear();
        limits.idle_timeout = 100ms;
        http::set_limits(table, limits);
        test::run_for(600ms);
        client.send(request);
        CHECK(test::run_until([&] { return client.has_received("answer") || client.has_ended(); }));
        CHECK(client.has_received("answer"));
        THEN("it holds from the next answer on")
        {
            CHECK(test::run_until([&] { return client.has_ended(); }));
        }
    }
    WHEN("it becomes shorter and longer in turn")
    {
        test::raw_client client(served.server->listening->port);
        REQUIRE(test::run_until([&] { return table.open.size() == 1; }));
        for (int i = 0; i < 20; ++i)
        {
            limits.idle_timeout = i % 2 == 0 ? 10ms : 500ms;
            http::set_limits(table, limits);
        }
        test::run_for(900ms);
        CHECK(client.has_ended());
    }
    WHEN("it becomes longer")
    {
        test::raw_client client(served.server->listening->port);
        client.send(request);
        REQUIRE(test::run_until([&] { return client.has_received("answer"); }));
        client.received.clear();
        limits.idle_timeout = 10s;
        http::set_limits(table, limits);
        test::run_for(600ms);
        client.send(request);
        CHECK(test::run_until([&] { return client.has_received("answer") || client.has_ended(); }));
        CHECK(client.has_received("answer"));
    }
}
