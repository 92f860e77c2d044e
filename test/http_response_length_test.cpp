#include "http/fetch.hpp"
#include "raw_server.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// Fetches from a server that sends these bytes and closes the connection.
http::fetch_outcome fetch_sent(std::string const& bytes)
{
    test::raw_server const server(
        [&](int connection, int)
        {
            test::read_request_headers(connection);
            test::send_text(connection, bytes);
        });
    auto const session = http::make_session();
    http::call_request request;
    request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    request.may_repeat = true;
    std::optional<http::fetch_outcome> outcome;
    auto const pending =
        http::start_fetch(session.get(), request, base::mono_now() + 2s, 1024 * 1024,
                          [&](http::fetch_outcome result) { outcome = std::move(result); });
    while (!outcome)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(*outcome);
}

std::string const ok = "HTTP/1.1 200 OK\r\n";

} // namespace

SCENARIO("the length of a response is contradictory or unreadable")
{
    // Guards against a body of a guessed length that counts as whole.
    for (std::string const lengths :
         {"Content-Length: \r\n", "Content-Length: -1\r\n", "Content-Length: -5\r\n",
          "Content-Length: +5\r\n", "Content-Length: 5x\r\n", "Content-Length: 0x5\r\n",
          "Content-Length: 5 5\r\n", "Content-Length: 5, 3\r\n", "Content-Length: 5.0\r\n",
          "Content-Length: 18446744073709551621\r\n", "Content-Length: 99999999999999999999999\r\n",
          "Content-Length: 5\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nContent-Length: 5\r\n",
          "Content-Length: 0\r\nContent-Length: 5\r\n"})
    {
        CAPTURE(lengths);
        auto const response = fetch_sent(ok + lengths + "\r\nhello");
        CHECK_FALSE(response.has_value());
        CHECK((response.has_value() || response.error().sent));
    }
}

SCENARIO("the length of a response is readable")
{
    // Guards against whole responses that are taken for broken ones.
    for (std::string const lengths :
         {"Content-Length: 5\r\n", "Content-Length:5\r\n", "Content-Length:  5  \r\n",
          "Content-Length: 05\r\n", "Content-Length: 5\r\nContent-Length: 5\r\n",
          "content-length: 5\r\n", "X: y\r\n"})
    {
        CAPTURE(lengths);
        auto const response = fetch_sent(ok + lengths + "\r\nhello");
        REQUIRE(response.has_value());
        CHECK(response->body == "hello");
    }
}

SCENARIO("a chunked response is cut within its last chunk or its trailers")
{
    // Guards against responses that count as whole although their end was not received.
    std::string const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    for (std::string const rest :
         {"0", "0\r", "0\r\n", "0\r\n\r", "0\r\nTrai", "0\r\nTrailer: x", "0\r\nTrailer: x\r"})
    {
        CAPTURE(rest);
        CHECK_FALSE(fetch_sent(chunked + rest).has_value());
    }
}
