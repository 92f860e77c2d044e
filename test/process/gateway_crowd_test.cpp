#include "process/support/crowd.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace gooseberrywood::test;

namespace
{

constexpr std::size_t mebibyte = 1024 * 1024;

// Memory and descriptors of the smallest machine that these tests stand for. The settings of the
// gateway name the same figures.
constexpr std::size_t memory_bound = 64 * mebibyte;
constexpr std::size_t descriptor_bound = 96;
constexpr char const* small_host = "memory_limit_mb = 64\ndescriptor_limit = 96\n";

// Below the limit of a body of 1 MiB, so that no single member of a crowd is outside the limits.
constexpr std::size_t body_bytes = 960 * 1024;
constexpr std::size_t large_chunk_bytes = 64 * 1024;
constexpr std::size_t crowd_size = 64;

// Tiny chunks cost a process far more than their bytes.
constexpr std::size_t tiny_chunk_body_bytes = 64 * 1024;

void check_bounds_and_service(site_service const& service)
{
    auto const& gateway = service.gateways[0];
    wait_settled(*gateway.program);
    REQUIRE(is_alive(*gateway.program));
    CHECK(peak_resident_bytes(*gateway.program) < memory_bound);
    CHECK(open_descriptors(*gateway.program) < descriptor_bound);
    bool const is_served = eventually(
        [&]
        {
            try
            {
                return call_gateway(gateway, "POST", "/q/1", "desk.example", "ordinary", "hello")
                           .status == 200;
            }
            catch (std::runtime_error const&)
            {
                // The connection was closed; callers try again.
                return false;
            }
        });
    CHECK(is_served);
    CHECK(is_alive(*gateway.program));
}

} // namespace

SCENARIO("a crowd leaves large chunked bodies unfinished")
{
    // Guards against a process that runs out of memory because open bodies have no common bound.
    site_service service(0);
    add_gateway(service, 1, small_host);
    auto const bytes = chunked_head("crowd") + unfinished_chunks(body_bytes, large_chunk_bytes);
    auto const held = make_crowd(service.gateways[0].http_port, crowd_size, bytes);
    check_bounds_and_service(service);
}

SCENARIO("a crowd leaves bodies of one-byte chunks unfinished")
{
    // Guards against chunks that are kept as objects of their own.
    site_service service(0);
    add_gateway(service, 1, small_host);
    auto const bytes = chunked_head("crowd") + unfinished_chunks(tiny_chunk_body_bytes, 1);
    auto const held = make_crowd(service.gateways[0].http_port, crowd_size, bytes);
    check_bounds_and_service(service);
}

SCENARIO("a crowd opens connections and sends no complete head")
{
    // Guards against connections that use up the descriptors of the process.
    site_service service(0);
    add_gateway(service, 1, small_host);
    auto const held = make_crowd(service.gateways[0].http_port, 2 * crowd_size,
                                 "POST /q/1 HTTP/1.1\r\nHost: desk.example\r\n");
    check_bounds_and_service(service);
}

SCENARIO("a crowd sends whole requests and never reads the answers")
{
    // Guards against answers that are held for callers without a common bound.
    site_service service(0);
    add_gateway(service, 1, small_host);
    auto const bytes =
        chunked_head("crowd") + unfinished_chunks(body_bytes, large_chunk_bytes) + "0\r\n\r\n";
    auto const held = make_crowd(service.gateways[0].http_port, crowd_size, bytes);
    check_bounds_and_service(service);
}
