#include "process/support/crowd.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>

using namespace gooseberrywood::test;

namespace
{

constexpr std::size_t descriptor_bound = 512;
// Below the limit of a body of 1 MiB, so that no single member of a crowd is outside the limits.
constexpr std::size_t body_bytes = 960 * 1024;
constexpr std::size_t crowd_size = 128;

std::string length_header()
{
    return fmt::format("Content-Length: {}\r\n", body_bytes);
}

/// All of a body but its last byte.
std::string unfinished_body()
{
    std::string made(body_bytes - 1, 'x');
    return made;
}

} // namespace

SCENARIO("a crowd leaves bodies with a length unfinished")
{
    // Guards against a bound that only chunked bodies have.
    small_gateway const gateway(descriptor_bound);
    auto const bytes = lookup_head("crowd", length_header()) + unfinished_body();
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd without a valid key leaves bodies unfinished")
{
    // Guards against bodies that take the room of those who may send them.
    small_gateway const gateway(descriptor_bound);
    auto const bytes =
        fmt::format("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: crowd\r\n"
                    "Authorization: Bearer nobody\r\n{}\r\n",
                    length_header()) +
        unfinished_body();
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd waits to be told to send bodies, and leaves them unfinished")
{
    // Guards against a path of its own for requests with Expect.
    small_gateway const gateway(descriptor_bound);
    auto const head = lookup_head("crowd", length_header() + "Expect: 100-continue\r\n");
    auto const held = make_crowd(gateway.port(), crowd_size, head + unfinished_body());
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd leaves the trailers of whole bodies unfinished")
{
    // Guards against a body that is no longer counted once its last chunk was read.
    small_gateway const gateway(descriptor_bound);
    constexpr std::size_t trailer_bytes = 60 * 1024;
    auto const bytes = chunked_head("crowd") + unfinished_chunks(body_bytes, body_bytes) +
                       "0\r\nX-Trailer: " + std::string(trailer_bytes, 't');
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd goes on with bodies so slowly that they never end")
{
    // Guards against bodies that keep their room by single bytes.
    small_gateway const gateway(descriptor_bound);
    auto const bytes =
        lookup_head("crowd", length_header()) + std::string(body_bytes - mebibyte / 64, 'x');
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    constexpr int rounds = 30;
    for (int round = 0; round < rounds; ++round)
    {
        for (auto const& member : held.members)
        {
            member->send("x");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    check_bounds_and_service(gateway);
}
