#include "http/fetch.hpp"
#include "property.hpp"
#include "raw_server.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// More reads than are made without a pause, so that some are made by the continuation.
constexpr int max_reads = 12;

/// A server whose answers have more bytes ready whenever the call reads.
void send_without_end(int connection, std::string const& begin)
{
    int const buffer_bytes = 4 * 1024 * 1024;
    setsockopt(connection, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
    test::read_request_headers(connection);
    bool is_open = test::send_text(connection, begin);
    std::string const block(256 * 1024, 'x');
    while (is_open)
    {
        is_open = test::send_text(connection, block);
    }
}

/// The owner of a call, who ends it in the handler named by `ends_in`, at its n-th call.
struct owner
{
    explicit owner(std::string handler, int at = 1) : ends_in(std::move(handler)), ends_at(at)
    {
    }

    std::string ends_in;
    int ends_at;
    std::shared_ptr<http::call> call;
    int handled = 0;
    int handled_after_the_end = 0;
    bool has_ended = false;
};

void handle(owner& of, std::string const& handler)
{
    of.handled_after_the_end += of.has_ended ? 1 : 0;
    if (of.has_ended || of.ends_in != handler || ++of.handled < of.ends_at)
    {
        return;
    }
    of.has_ended = true;
    of.call.reset();
}

http::call_handlers make_handlers(owner& of)
{
    http::call_handlers handlers;
    handlers.on_status = [&of](std::uint16_t, std::string_view)
    {
        handle(of, "on_status");
    };
    handlers.on_bytes = [&of](std::string_view)
    {
        // The server has sent more by the next read.
        std::this_thread::sleep_for(1ms);
        handle(of, "on_bytes");
    };
    handlers.on_complete = [&of]
    {
        handle(of, "on_complete");
    };
    handlers.on_failed = [&of](base::error const&, bool)
    {
        handle(of, "on_failed");
    };
    handlers.on_sending = [&of]
    {
        handle(of, "on_sending");
    };
    handlers.may_send = [&of]
    {
        handle(of, "may_send");
        return true;
    };
    return handlers;
}

/// Makes a call to a server and lets its owner end it in a handler.
void end_in(owner& of, std::string const& begin)
{
    test::raw_server const server([&](int connection, int)
                                  { send_without_end(connection, begin); });
    auto const session = http::make_session();
    http::call_request request;
    request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    request.may_repeat = true;
    of.call = http::start_call(session.get(), request, make_handlers(of));
    CHECK(test::run_until([&] { return of.has_ended; }));
    // Whatever still follows would be handled here.
    test::run_for(20ms);
    CHECK(of.handled_after_the_end == 0);
    of.call.reset();
}

std::string const endless_head = "HTTP/1.1 200 OK\r\n\r\n";

} // namespace

SCENARIO("the owner of a call ends it in one of its handlers")
{
    // Guards against a handler that is called for a call that has ended, whose owner has forgotten
    // it: such a call ended the process.
    GIVEN("the handler of the bytes of an answer that goes on without end")
    {
        for (int read = 1; read <= max_reads; ++read)
        {
            CAPTURE(read);
            owner of("on_bytes", read);
            end_in(of, endless_head);
        }
    }
    GIVEN("a handler that is called before the bytes")
    {
        for (auto const* const handler : {"may_send", "on_sending", "on_status"})
        {
            CAPTURE(handler);
            owner of(handler);
            end_in(of, endless_head);
        }
    }
    GIVEN("the handler of the status of an answer that is never read on")
    {
        owner of("on_status");
        end_in(of, "HTTP/1.1 421 Misdirected Request\r\n\r\n");
    }
    GIVEN("the handler of a failure or of the end")
    {
        owner failed("on_failed");
        end_in(failed, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n");
        owner failed_late("on_failed");
        end_in(failed_late, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
        owner complete("on_complete");
        end_in(complete, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
    }
}

SCENARIO("an answer exceeds its size limit after some reads, and its owner keeps the fetch")
{
    // Guards against a second outcome of one fetch, or one from an answer that was given up.
    for (std::size_t const max_bytes : {1, 20'000, 70'000, 100'000, 300'000})
    {
        CAPTURE(max_bytes);
        test::raw_server const server([](int connection, int)
                                      { send_without_end(connection, endless_head); });
        auto const session = http::make_session();
        http::call_request request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
        int outcomes = 0;
        bool is_failure = false;
        auto const fetch =
            http::start_fetch(session.get(), request, base::mono_now() + 5s, max_bytes,
                              [&](http::fetch_outcome const& outcome)
                              {
                                  ++outcomes;
                                  is_failure = !outcome;
                              });
        CHECK(test::run_until([&] { return outcomes > 0; }));
        test::run_for(20ms);
        CHECK(outcomes == 1);
        CHECK(is_failure);
    }
}

SCENARIO("owners end their calls at random moments")
{
    // Guards against an order of reads, ends and answers that the cases above don't have.
    test::check_property("no handler is called after the end",
                         []
                         {
                             auto const read = *rc::gen::inRange(1, 3 * max_reads);
                             std::vector<std::string> const handlers = {"may_send", "on_sending",
                                                                        "on_status", "on_bytes"};
                             std::vector<std::string> const heads = {
                                 endless_head,
                                 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                                 "HTTP/1.1 100 Continue\r\n\r\n" + endless_head};
                             auto const handler = *rc::gen::elementOf(handlers);
                             auto const head = *rc::gen::elementOf(heads);
                             owner of(handler, handler == "on_bytes" ? read : 1);
                             end_in(of, head);
                             RC_ASSERT(of.handled_after_the_end == 0);
                         });
}
