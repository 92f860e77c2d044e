#include "http/server.hpp"
#include "raw_client.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <cstddef>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>

using namespace gooseberrywood;

namespace
{

std::size_t open_descriptors()
{
    std::filesystem::directory_iterator const listed("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(listed), end(listed)));
}

constexpr std::string_view request = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";

} // namespace

SCENARIO("a client closes its connection")
{
    // Guards against connections that stay open with their descriptor and memory after their client
    // has left: libsoup 3.2.3 keeps one that ends between two requests, and one whose request is
    // paused.
    std::shared_ptr<http::exchange> held;
    bool holds = false;
    auto const server = http::serve("127.0.0.1:0",
                                    [&](std::shared_ptr<http::exchange> const& exchange)
                                    {
                                        if (holds)
                                        {
                                            held = exchange;
                                            return;
                                        }
                                        http::respond(*exchange, 200, "text/plain", "answer");
                                    });
    REQUIRE(server.has_value());
    auto const port = (*server)->listening->port;
    auto const before = open_descriptors();
    auto made = std::make_unique<test::raw_client>(port);
    auto const is_released = [&]
    {
        made.reset();
        return test::run_until([&] { return open_descriptors() == before; });
    };
    auto const is_answered = [&]
    {
        made->send(request);
        return test::run_until([&] { return made->has_received("answer"); });
    };
    WHEN("it has sent nothing")
    {
        CHECK(is_released());
    }
    WHEN("it has its answer")
    {
        REQUIRE(is_answered());
        CHECK(is_released());
    }
    WHEN("it has its answer, and resets the connection")
    {
        REQUIRE(is_answered());
        made->reset_when_closed();
        CHECK(is_released());
    }
    WHEN("it has two answers")
    {
        REQUIRE(is_answered());
        made->received.clear();
        REQUIRE(is_answered());
        CHECK(is_released());
    }
    WHEN("it has begun another request")
    {
        REQUIRE(is_answered());
        made->send("POST /p");
        CHECK(is_released());
    }
    WHEN("it has begun another request, and resets the connection")
    {
        REQUIRE(is_answered());
        made->send("POST /p");
        test::run_for(std::chrono::milliseconds(10));
        made->reset_when_closed();
        CHECK(is_released());
    }
    WHEN("another request is malformed")
    {
        REQUIRE(is_answered());
        made->send("POST /p HTTP/1.1\r\nContent-Length: x\r\n\r\n");
        CHECK(test::run_until([&] { return made->has_received("400"); }));
        CHECK(is_released());
    }
    WHEN("it has left the body of another request unfinished")
    {
        REQUIRE(is_answered());
        made->send(request.substr(0, request.size() - 1));
        CHECK(is_released());
    }
    WHEN("it has left a body unfinished")
    {
        made->send(request.substr(0, request.size() - 1));
        CHECK(is_released());
    }
    WHEN("it waits for the answer of a request that is given up then")
    {
        holds = true;
        made->send(request);
        REQUIRE(test::run_until([&] { return held != nullptr; }));
        made.reset();
        REQUIRE(test::run_until([&] { return http::is_caller_disconnected(*held); }));
        held->disconnected = true;
        held.reset();
        CHECK(is_released());
    }
    WHEN("it half-closes the connection after its request")
    {
        made->send(request);
        shutdown(made->descriptor, SHUT_WR);
        CHECK(test::run_until([&] { return made->has_received("answer"); }));
        // Nothing but the end follows the answer.
        CHECK_FALSE(made->has_received("400"));
        CHECK(is_released());
    }
}
