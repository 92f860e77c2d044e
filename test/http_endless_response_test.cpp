#include "http/fetch.hpp"
#include "platform/event_stream.hpp"
#include "raw_server.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// A response that repeats the same bytes until the caller closes the connection.
struct endless_response
{
    char const* name;
    std::string begin;
    std::string repeated;
};

std::vector<endless_response> endless_responses()
{
    std::string const head = "HTTP/1.1 200 OK\r\n";
    std::string const block(16'384, 'x');
    return {{"status line", "HTTP/1.1 200 ", block},
            {"one header", head + "X-Long: ", block},
            {"unlimited number of headers", head, "X-More: 1\r\nX-Again: 2\r\n"},
            {"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", std::string(16'384, '0')},
            {"body with Content-Length", head + "Content-Length: 99999999999\r\n\r\n", block},
            {"body without Content-Length", head + "\r\n", block},
            {"event", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", block},
            {"bytes that are not HTTP", "", block}};
}

} // namespace

SCENARIO("a server sends an endless response")
{
    // Guards against a process that exhausts its memory or waits forever while a faulty upstream or
    // store sends data.
    constexpr std::size_t max_body = 1024 * 1024;
    // Includes the socket buffers, which are not part of the memory of the process.
    constexpr std::size_t max_sent = 24 * 1024 * 1024;
    auto const session = http::make_session();
    for (auto const& response : endless_responses())
    {
        CAPTURE(response.name);
        std::atomic<std::size_t> sent_bytes = 0;
        std::atomic<bool> is_closed = false;
        test::raw_server const server(
            [&](int connection, int)
            {
                timeval const limit{3, 0};
                setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
                test::read_request_headers(connection);
                bool is_open = test::send_text(connection, response.begin);
                while (is_open)
                {
                    is_open = test::send_text(connection, response.repeated);
                    sent_bytes += response.repeated.size();
                }
                is_closed = true;
            });
        http::call_request request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
        request.may_repeat = true;
        std::optional<http::fetch_outcome> outcome;
        auto const begin = base::mono_now();
        auto fetch =
            http::start_fetch(session.get(), request, begin + 500ms, max_body,
                              [&](http::fetch_outcome result) { outcome = std::move(result); });
        while (!outcome)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        fetch.reset();
        CHECK_FALSE(outcome->has_value());
        CHECK(base::mono_now() - begin < 1s);
        while (!is_closed && base::mono_now() - begin < 2s)
        {
            g_main_context_iteration(nullptr, FALSE);
        }
        CHECK(is_closed);
        CHECK(sent_bytes < max_sent);
    }
}

SCENARIO("an event in a stream is endless")
{
    platform::event_stream stream;
    std::string const block(16'384, 'x');
    CHECK(platform::feed(stream, "id: 1\ndata: ").empty());
    int blocks = 0;
    while (!platform::is_event_too_large(stream) && blocks < 10'000)
    {
        CHECK(platform::feed(stream, block).empty());
        ++blocks;
    }
    THEN("it is detected long before it exhausts the memory")
    {
        CHECK(platform::is_event_too_large(stream));
        CHECK(stream.buffer.size() < 2 * 1024 * 1024);
    }
}
