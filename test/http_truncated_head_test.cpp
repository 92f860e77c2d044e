#include "http/fetch.hpp"
#include "raw_server.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <netinet/tcp.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace gooseberrywood;
using test::raw_server;
using test::read_request_headers;
using test::send_text;
using namespace std::chrono_literals;

namespace
{

http::fetch_outcome fetch(SoupSession* session, std::uint16_t port)
{
    http::call_request request;
    request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    request.may_repeat = true;
    std::optional<http::fetch_outcome> outcome;
    auto const pending =
        http::start_fetch(session, request, base::mono_now() + 5s, 1024 * 1024,
                          [&](http::fetch_outcome result) { outcome = std::move(result); });
    while (!outcome)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(*outcome);
}

std::vector<std::string> heads()
{
    std::vector<std::string> made;
    for (std::string const status :
         {"200 OK", "500 Internal Server Error", "503 Service Unavailable", "204 No Content",
          "404 Not Found", "421 Misdirected Request"})
    {
        for (std::string const length : {"", "Content-Length: 0\r\n", "Content-Length: 800\r\n",
                                         "Transfer-Encoding: chunked\r\n"})
        {
            made.push_back(fmt::format("HTTP/1.1 {}\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n{}"
                                       "Server-Stamp: 3e1b.07\r\n\r\n",
                                       status, length));
        }
    }
    made.emplace_back("HTTP/1.1 200 OK\r\nA:b\r\nC:  d  \r\nContent-Length:0\r\n\r\n");
    made.emplace_back("HTTP/1.1 200 OK\nContent-Length: 0\n\n");
    made.emplace_back("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n");
    made.emplace_back("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    made.emplace_back("HTTP/1.1 102 Processing\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n");
    return made;
}

enum class ending : std::uint8_t
{
    closed,
    reset,
};

void end_connection(int connection, ending how)
{
    if (how == ending::reset)
    {
        // With a linger time of 0, close() sends a reset.
        linger const no_linger{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    }
}

void send_bytewise(int connection, std::string_view text)
{
    int const yes = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        send_text(connection, text.substr(at, 1));
        std::this_thread::sleep_for(50us);
    }
}

constexpr std::string_view whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// How a part of a head is sent.
struct variant
{
    std::string name;
    ending how = ending::closed;
    bool is_kept_alive = false;
    bool is_bytewise = false;
    /// Step between two cuts.
    std::size_t step = 1;
};

} // namespace

SCENARIO("a connection that ends within the head of a response brings no response")
{
    // Guards against a cut head that counts as whole: a success without its body, or a refusal.
    for (auto const& kind : {variant{"closed"}, variant{"reset", ending::reset, false, false, 3},
                             variant{"closed after another response", ending::closed, true},
                             variant{"sent byte by byte", ending::closed, false, true, 7}})
    {
        std::string sent;
        raw_server server(
            [&](int connection, int)
            {
                if (kind.is_kept_alive)
                {
                    read_request_headers(connection);
                    send_text(connection, whole_answer);
                }
                read_request_headers(connection);
                kind.is_bytewise ? send_bytewise(connection, sent)
                                 : static_cast<void>(send_text(connection, sent));
                end_connection(connection, kind.how);
            });
        auto const session = http::make_session();
        for (auto const& head : heads())
        {
            // The server needs no lock: it reads `sent` after the request for it has arrived.
            for (std::size_t cut = 1; cut < head.size(); cut += kind.step)
            {
                sent = head.substr(0, cut);
                if (kind.is_kept_alive)
                {
                    REQUIRE(fetch(session.get(), server.port).has_value());
                }
                auto const response = fetch(session.get(), server.port);
                CAPTURE(kind.name);
                CAPTURE(sent);
                CHECK_FALSE(response.has_value());
                CHECK((response.has_value() || response.error().sent));
            }
        }
    }
}

SCENARIO("a connection ends after a whole head")
{
    // Guards against a whole response that counts as cut because its connection ended with it.
    struct whole_response
    {
        std::string bytes;
        std::uint16_t status = 0;
        std::string body = {};
    };
    std::string const no_length = "HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b.07\r\n\r\n";
    for (auto const& whole :
         {whole_response{no_length, 200}, whole_response{no_length + "hello", 200, "hello"},
          whole_response{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200},
          whole_response{"HTTP/1.1 200 OK\nContent-Length:5\n\nhello", 200, "hello"},
          whole_response{"HTTP/1.1 100 Continue\r\n\r\n" + no_length, 200},
          whole_response{"HTTP/1.1 204 No Content\r\n\r\n", 204},
          whole_response{"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", 421},
          whole_response{"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                         503}})
    {
        for (bool const is_bytewise : {false, true})
        {
            CAPTURE(whole.bytes);
            CAPTURE(is_bytewise);
            raw_server const server(
                [&](int connection, int)
                {
                    read_request_headers(connection);
                    is_bytewise ? send_bytewise(connection, whole.bytes)
                                : static_cast<void>(send_text(connection, whole.bytes));
                });
            auto const session = http::make_session();
            auto const response = fetch(session.get(), server.port);
            REQUIRE(response.has_value());
            CHECK(response->status == whole.status);
            CHECK(response->body == whole.body);
        }
    }
}
