#include "http/fetch.hpp"
#include "property.hpp"
#include "raw_server.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t max_response = megabyte;
constexpr std::string_view empty_response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A response that repeats the same bytes until the caller closes the connection.
struct endless_response
{
    std::string name;
    std::string begin;
    std::string repeated;
};

std::vector<endless_response> endless_responses()
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::string const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    std::string const block(16'384, 'x');
    return {{"bytes that are not HTTP", "", block},
            {"status line", "HTTP/1.1 200 ", block},
            {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"interim heads with headers", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
            {"one header", ok + "X-Long: ", block},
            {"headers", ok, "X-More: 1\r\n"},
            {"body with a length", ok + "Content-Length: 99999999999\r\n\r\n", block},
            {"body without a length", ok + "\r\n", block},
            {"chunks of one byte", chunked, "1\r\nx\r\n"},
            {"one chunk", chunked + "fffffff\r\n", block},
            {"chunk size", chunked, "0"},
            {"chunk extension", chunked + "1;", "a=b;"},
            {"chunk extensions", chunked, "1;a=\"" + std::string(3000, 'e') + "\"\r\nx\r\n"},
            {"trailers", chunked + "0\r\n", "X-Trailer: 1\r\n"},
            {"an event", ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", block},
            {"events", ok + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: x\n\n"}};
}

/// \returns `text` repeated to at least the size of a read.
std::string make_block(std::string const& text)
{
    std::string block;
    while (block.size() < 16'384)
    {
        block += text;
    }
    return block;
}

/// A server that answers without end, after requests that are answered properly on the same
/// connection.
struct endless_server
{
    endless_server(int proper_requests, endless_response const& response)
        : server([=, this](int connection, int) { serve(connection, proper_requests, response); })
    {
    }
    endless_server(endless_server const&) = delete;
    endless_server& operator=(endless_server const&) = delete;
    ~endless_server()
    {
        // The connection is closed by the main loop.
        auto const until = base::mono_now() + 5s;
        while (!is_closed && base::mono_now() < until)
        {
            g_main_context_iteration(nullptr, FALSE);
            std::this_thread::sleep_for(1ms);
        }
        CHECK(is_closed);
    }

    void serve(int connection, int proper_requests, endless_response const& response);

    std::atomic<bool> is_closed = false;
    test::raw_server server;
};

void endless_server::serve(int connection, int proper_requests, endless_response const& response)
{
    for (int i = 0; i < proper_requests; ++i)
    {
        test::read_request_headers(connection);
        test::send_text(connection, empty_response);
    }
    test::read_request_headers(connection);
    bool is_open = test::send_text(connection, response.begin);
    auto const block = make_block(response.repeated);
    while (is_open)
    {
        is_open = test::send_text(connection, block);
    }
    is_closed = true;
}

http::call_request make_request(test::raw_server const& server)
{
    http::call_request request;
    request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    request.may_repeat = true;
    return request;
}

/// A call that forgets what it reads.
struct forgetful_call
{
    std::shared_ptr<http::call> call;
    std::optional<base::error> failure;
    bool is_complete = false;
    std::size_t read_bytes = 0;
};

std::unique_ptr<forgetful_call> start_forgetful(SoupSession* session,
                                                http::call_request const& request)
{
    auto made = std::make_unique<forgetful_call>();
    auto* const of = made.get();
    of->call = http::start_call(session, request,
                                {[](std::uint16_t, std::string_view) {},
                                 [of](std::string_view bytes) { of->read_bytes += bytes.size(); },
                                 [of] { of->is_complete = true; },
                                 [of](base::error const& error, bool)
                                 {
                                     of->failure = error;
                                     of->call.reset();
                                 }});
    return made;
}

bool has_ended(forgetful_call const& call)
{
    return call.failure.has_value() || call.is_complete;
}

bool tells_a_faulty_upstream(base::result_code code)
{
    return code == base::result_code::response_too_large ||
           code == base::result_code::upstream_error;
}

} // namespace

SCENARIO("a response goes on without end in any of its parts")
{
    // Guards against a response that is not bounded in one of its parts, and against one that is
    // taken for a broken connection: connections that break tell of upstreams that crash.
    for (auto const& response : endless_responses())
    {
        CAPTURE(response.name);
        for (int const proper_requests : {0, 1})
        {
            CAPTURE(proper_requests);
            endless_server const endless(proper_requests, response);
            auto const& server = endless.server;
            auto const limits = http::make_response_limits(max_response, 64 * megabyte);
            auto const session = http::make_session(limits);
            for (int i = 0; i < proper_requests; ++i)
            {
                auto const proper = start_forgetful(session.get(), make_request(server));
                CHECK(test::run_until([&] { return has_ended(*proper); }));
                CHECK(proper->is_complete);
            }
            auto const call = start_forgetful(session.get(), make_request(server));
            CHECK(test::run_until([&] { return has_ended(*call); }));
            REQUIRE(call->failure.has_value());
            CAPTURE(call->failure->message);
            CHECK(tells_a_faulty_upstream(call->failure->code));
            CHECK(call->read_bytes <= max_response);
            CHECK(limits.budget->used_bytes == 0);
        }
    }
}

SCENARIO("many responses go on without end at once")
{
    // Guards against responses that are bounded one by one and exceed the memory together, and
    // against small ones that fail because of them.
    constexpr std::size_t memory = 32 * megabyte;
    constexpr int endless_calls = 16;
    endless_response const response{"", "HTTP/1.1 200 OK\r\n\r\n", std::string(16'384, 'x')};
    auto const limits = http::make_response_limits(4 * megabyte, memory);
    auto const session = http::make_session(limits);
    std::vector<std::unique_ptr<endless_server>> servers;
    std::vector<std::shared_ptr<http::fetch>> fetches;
    int failed = 0;
    for (int i = 0; i < endless_calls; ++i)
    {
        servers.push_back(std::make_unique<endless_server>(0, response));
        fetches.push_back(http::start_fetch(
            session.get(), make_request(servers.back()->server), base::mono_now() + 10s,
            64 * megabyte, [&](http::fetch_outcome const& outcome) { failed += outcome ? 0 : 1; }));
    }
    test::raw_server const sound(
        [](int connection, int)
        {
            timeval const patience{0, 300'000};
            setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
            std::string byte(1, '\0');
            while (recv(connection, byte.data(), 1, MSG_PEEK) > 0)
            {
                test::read_request_headers(connection);
                test::send_text(connection, "HTTP/1.1 200 OK\r\nContent-Length: 800\r\n\r\n" +
                                                std::string(800, 'y'));
            }
        });
    std::size_t most_used = 0;
    int served = 0;
    while (failed < endless_calls)
    {
        auto const proper = start_forgetful(session.get(), make_request(sound));
        while (!has_ended(*proper))
        {
            g_main_context_iteration(nullptr, TRUE);
            most_used = std::max(most_used, limits.budget->used_bytes);
        }
        served += proper->is_complete ? 1 : 0;
        CHECK(proper->is_complete);
    }
    CHECK(served > 0);
    CHECK(failed == endless_calls);
    CHECK(most_used <= memory / 4 + endless_calls * base::min_evicted_bytes);
    CHECK(limits.budget->evictions >= endless_calls);
    CHECK(limits.budget->used_bytes == 0);
}

SCENARIO("a response is as large as its limit allows")
{
    // Guards against a limit that refuses what is proper, and against bytes that stay counted.
    std::string const head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    std::string const body(1'000'000, 'y');
    for (int const too_many : {0, 1})
    {
        CAPTURE(too_many);
        auto const limits = http::make_response_limits(
            head.size() + body.size() - static_cast<std::size_t>(too_many), 64 * megabyte);
        auto const session = http::make_session(limits);
        test::raw_server const server(
            [&](int connection, int)
            {
                test::read_request_headers(connection);
                test::send_text(connection, head + body);
            });
        std::optional<http::fetch_outcome> outcome;
        auto const fetch = http::start_fetch(
            session.get(), make_request(server), base::mono_now() + 5s, 64 * megabyte,
            [&](http::fetch_outcome result) { outcome = std::move(result); });
        CHECK(test::run_until([&] { return outcome.has_value(); }));
        REQUIRE(outcome.has_value());
        CHECK(outcome->has_value() == (too_many == 0));
        CHECK(limits.budget->used_bytes == (too_many == 0 ? head.size() + body.size() : 0));
        outcome.reset();
        CHECK(limits.budget->used_bytes == 0);
    }
}

SCENARIO("random bytes follow the begin of a response without end")
{
    // Guards against an order of bytes that the cases above don't have.
    test::check_property(
        "the response ends, and nothing of it stays counted",
        []
        {
            auto const kind = *rc::gen::elementOf(endless_responses());
            auto const noise = *rc::gen::nonEmpty(rc::gen::container<std::string>(
                rc::gen::oneOf(rc::gen::arbitrary<char>(),
                               rc::gen::elementOf(std::string("\r\n:;0123456789abcdefHTP/1. ")))));
            endless_response const response{
                "", kind.begin + *rc::gen::elementOf(std::vector<std::string>{"", kind.repeated}),
                noise};
            endless_server const endless(0, response);
            auto const& server = endless.server;
            auto const limits = http::make_response_limits(max_response / 4, megabyte);
            auto const session = http::make_session(limits);
            auto const call = start_forgetful(session.get(), make_request(server));
            RC_ASSERT(test::run_until([&] { return has_ended(*call); }));
            RC_ASSERT(call->read_bytes <= max_response / 4);
            call->call.reset();
            RC_ASSERT(limits.budget->used_bytes == 0U);
        });
}
