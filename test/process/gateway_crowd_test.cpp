#include "process/support/crowd.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace gooseberrywood::test;

namespace
{

constexpr std::size_t descriptor_bound = 96;

// Below the limit of a body of 1 MiB, so that no single member of a crowd is outside the limits.
constexpr std::size_t body_bytes = 960 * 1024;
constexpr std::size_t large_chunk_bytes = 64 * 1024;
constexpr std::size_t crowd_size = 64;

// Tiny chunks cost a process far more than their bytes.
constexpr std::size_t tiny_chunk_body_bytes = 64 * 1024;

} // namespace

SCENARIO("a crowd leaves large chunked bodies unfinished")
{
    // Guards against a process that runs out of memory because open bodies have no common bound.
    small_gateway const gateway(descriptor_bound);
    auto const bytes = chunked_head("crowd") + unfinished_chunks(body_bytes, large_chunk_bytes);
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd leaves bodies of one-byte chunks unfinished")
{
    // Guards against chunks that are kept as objects of their own.
    small_gateway const gateway(descriptor_bound);
    auto const bytes = chunked_head("crowd") + unfinished_chunks(tiny_chunk_body_bytes, 1);
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd opens connections and sends no complete head")
{
    // Guards against connections that use up the descriptors of the process.
    small_gateway const gateway(descriptor_bound);
    auto const held =
        make_crowd(gateway.port(), 2 * crowd_size, "POST /q/1 HTTP/1.1\r\nHost: desk.example\r\n");
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd sends whole requests and never reads the answers")
{
    // Guards against answers that are held for callers without a common bound.
    small_gateway const gateway(descriptor_bound);
    auto const bytes =
        chunked_head("crowd") + unfinished_chunks(body_bytes, large_chunk_bytes) + "0\r\n\r\n";
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    check_bounds_and_service(gateway);
}
