#include "http/fetch.hpp"
#include "raw_server.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood;
using test::raw_server;
using test::read_request_headers;
using test::send_text;
using namespace std::chrono_literals;

namespace
{

http::fetch_outcome fetch(SoupSession* session, std::uint16_t port, std::string body)
{
    http::call_request request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    request.body = std::move(body);
    request.may_repeat = true;
    std::optional<http::fetch_outcome> outcome;
    auto const pending =
        http::start_fetch(session, request, base::mono_now() + 5s, 64 * 1024 * 1024,
                          [&](http::fetch_outcome result) { outcome = std::move(result); });
    while (!outcome)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(*outcome);
}

constexpr std::string_view empty_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

} // namespace

SCENARIO("connections are kept alive between calls, and no request is sent twice")
{
    auto const session = http::make_session();
    GIVEN("a server that reads complete requests")
    {
        // Guards against opening a new connection for each request.
        raw_server server(
            [](int connection, int)
            {
                for (int i = 0; i < 3; ++i)
                {
                    read_request_headers(connection);
                    std::string body(4, '\0');
                    (void)recv(connection, body.data(), body.size(), MSG_WAITALL);
                    send_text(connection, empty_response);
                }
            });
        for (int i = 0; i < 3; ++i)
        {
            CHECK(fetch(session.get(), server.port, "body").has_value());
        }
        CHECK(server.connections == 1);
    }
    GIVEN("a server that responds with 421 Misdirected Request")
    {
        // Guards against the repetition of the request by libsoup, which sent an incomplete body.
        raw_server server(
            [](int connection, int)
            {
                read_request_headers(connection);
                std::string body(4, '\0');
                (void)recv(connection, body.data(), body.size(), MSG_WAITALL);
                send_text(connection, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: other\r\n"
                                      "Content-Length: 0\r\n\r\n");
                read_request_headers(connection);
            });
        auto const response = fetch(session.get(), server.port, "body");
        REQUIRE(response.has_value());
        CHECK(response->status == 421);
        CHECK(http::find_header(response->headers, "Instance-Id") == "other");
        std::this_thread::sleep_for(50ms);
        while (g_main_context_iteration(nullptr, FALSE) != 0)
        {
        }
        CHECK(server.connections == 1);
    }
}

SCENARIO("a call that may not be sent any more sends nothing")
{
    // Guards against a request that reaches an upstream long after it was chosen.
    std::atomic<int> requests = 0;
    raw_server server(
        [&](int connection, int)
        {
            timeval const patience{0, 300'000};
            setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
            std::string bytes(1, '\0');
            while (recv(connection, bytes.data(), bytes.size(), MSG_PEEK) > 0)
            {
                read_request_headers(connection);
                ++requests;
                send_text(connection, empty_response);
            }
        });
    auto const session = http::make_session();
    http::call_request request;
    request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    request.may_repeat = true;
    auto const fetch_if = [&](bool may_send)
    {
        std::optional<http::fetch_outcome> outcome;
        int asked = 0;
        auto const pending = http::start_fetch(
            session.get(), request, base::mono_now() + 5s, 1024,
            [&](http::fetch_outcome result) { outcome = std::move(result); },
            [&]
            {
                ++asked;
                return may_send;
            });
        CHECK_FALSE(http::is_sent(*pending));
        while (!outcome)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        CHECK(asked == 1);
        return std::move(*outcome);
    };
    GIVEN("a new connection")
    {
        auto const withdrawn = fetch_if(false);
        REQUIRE_FALSE(withdrawn.has_value());
        CHECK_FALSE(withdrawn.error().sent);
        CHECK_FALSE(withdrawn.error().timed_out);
        CHECK(withdrawn.error().why.message == "the request was withdrawn before it was sent");
    }
    GIVEN("a connection that is open already")
    {
        REQUIRE(fetch_if(true).has_value());
        auto const withdrawn = fetch_if(false);
        REQUIRE_FALSE(withdrawn.has_value());
        CHECK_FALSE(withdrawn.error().sent);
    }
    auto const before = requests.load();
    THEN("the next call is sent")
    {
        CHECK(fetch_if(true).has_value());
        CHECK(requests == before + 1);
    }
    CHECK(requests <= 2);
}

SCENARIO("a large response that arrives in pieces is read completely")
{
    // Guards against a response that stalls after the first reads.
    auto const session = http::make_session();
    std::string const body(300'000, 'x');
    raw_server server(
        [&](int connection, int)
        {
            read_request_headers(connection);
            send_text(connection, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
            for (std::size_t at = 0; at < body.size(); at += 60'000)
            {
                send_text(connection, std::string_view(body).substr(at, 60'000));
                std::this_thread::sleep_for(5ms);
            }
        });
    auto const response = fetch(session.get(), server.port, "");
    REQUIRE(response.has_value());
    CHECK(response->body == body);
}

namespace
{

/// A response of which only a part is sent before the connection is reset.
struct broken_response
{
    std::string text;
    std::chrono::milliseconds pause{};
    /// With a large request body, the response arrives while the request is still being sent.
    std::size_t request_bytes = 0;
};

std::vector<broken_response> broken_responses()
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::vector<broken_response> responses;
    for (std::string const rest :
         {"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", "Connection: close\r\n\r\nabc"})
    {
        for (auto const pause : {0ms, 20ms})
        {
            for (std::size_t const request_bytes : {0, 600, 8'000'000})
            {
                responses.push_back({ok + rest, pause, request_bytes});
            }
        }
    }
    return responses;
}

void send_and_reset(int connection, broken_response const& response)
{
    read_request_headers(connection);
    send_text(connection, response.text);
    std::this_thread::sleep_for(response.pause);
    // With a linger time of 0, close() sends a reset.
    linger const no_linger{1, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
}

} // namespace

SCENARIO("a response cut off by a reset is a failure, however its length is specified")
{
    // Guards against passing on an incomplete body as complete after the upstream crashed.
    for (auto const& broken : broken_responses())
    {
        CAPTURE(broken.text);
        CAPTURE(broken.pause.count());
        CAPTURE(broken.request_bytes);
        auto const session = http::make_session();
        raw_server server([&](int connection, int) { send_and_reset(connection, broken); });
        CHECK_FALSE(
            fetch(session.get(), server.port, std::string(broken.request_bytes, 'x')).has_value());
    }
}

SCENARIO("a chunked response with its last chunk is complete, also if the connection then closes")
{
    // Guards against treating complete responses as incomplete if the upstream is shutting down.
    auto const session = http::make_session();
    for (std::string const rest :
         {"\r\n3\r\nabc\r\n0\r\n\r\n", "\r\n3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n",
          "Connection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n"})
    {
        for (auto const pause : {0ms, 20ms})
        {
            raw_server server(
                [&](int connection, int)
                {
                    read_request_headers(connection);
                    send_text(connection,
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest);
                    std::this_thread::sleep_for(pause);
                });
            auto const response = fetch(session.get(), server.port, "");
            REQUIRE(response.has_value());
            CHECK(response->body == "abc");
        }
    }
}

SCENARIO("a response that ends early is a failure")
{
    // Guards against passing on an incomplete body as complete: a connection may be closed properly
    // between two chunks.
    auto const session = http::make_session();
    for (std::string const rest :
         {"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n3\r\nab", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc",
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n5",
          "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"})
    {
        CAPTURE(rest);
        raw_server server(
            [&](int connection, int)
            {
                read_request_headers(connection);
                send_text(connection, "HTTP/1.1 200 OK\r\n" + rest);
            });
        auto const response = fetch(session.get(), server.port, "");
        CHECK_FALSE(response.has_value());
        CHECK((response.has_value() || response.error().sent));
    }
}
