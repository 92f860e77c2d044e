#include "process/support/crowd.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

using namespace gooseberrywood::test;

namespace
{

constexpr std::size_t descriptor_bound = 4100;

/// Lets the upstreams of the lookups answer nothing, or again.
void set_silent(small_gateway const& gateway, bool is_silent)
{
    for (int i = 0; i < 2; ++i)
    {
        set_site(
            *gateway.service, "upstream",
            {{"id", fmt::format("desk-{}", i)}, {"silent", is_silent}, {"drops_held", !is_silent}});
    }
}

std::string whole_request(std::size_t body_bytes, std::string const& headers = "")
{
    return lookup_head("crowd", headers + fmt::format("Content-Length: {}\r\n", body_bytes)) +
           std::string(body_bytes, 'x');
}

} // namespace

SCENARIO("a crowd sends whole requests that wait for upstreams")
{
    // Guards against copies of a body in each place that a request passes.
    constexpr std::size_t crowd_size = 600;
    constexpr std::size_t body_bytes = 60'000;
    small_gateway const gateway(descriptor_bound);
    set_silent(gateway, true);
    auto const held = make_crowd(gateway.port(), crowd_size, whole_request(body_bytes));
    check_bounds(gateway);
    set_silent(gateway, false);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd sends requests whose heads have many headers")
{
    // Guards against headers that take many times their bytes.
    constexpr std::size_t crowd_size = 300;
    constexpr int header_count = 2500;
    small_gateway const gateway(descriptor_bound);
    std::string headers;
    for (int i = 0; i < header_count; ++i)
    {
        headers += fmt::format("a{}:\r\n", i % 10);
    }
    set_silent(gateway, true);
    auto const held = make_crowd(gateway.port(), crowd_size, whole_request(1, headers));
    check_bounds(gateway);
    set_silent(gateway, false);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd sends requests ahead")
{
    // Guards against bytes that wait unread in the sockets and count as memory.
    constexpr std::size_t crowd_size = 600;
    constexpr int request_count = 100;
    small_gateway const gateway(descriptor_bound);
    std::string bytes;
    for (int i = 0; i < request_count; ++i)
    {
        bytes += whole_request(10'000);
    }
    set_silent(gateway, true);
    auto const held = make_crowd(gateway.port(), crowd_size, bytes);
    check_bounds(gateway);
    set_silent(gateway, false);
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd closes its connections before the answers")
{
    // Guards against connections that stay open because their request is paused for good.
    constexpr std::size_t crowd_size = 800;
    constexpr std::size_t left_over_bound = 96;
    small_gateway const gateway(descriptor_bound);
    set_silent(gateway, true);
    {
        auto const closed = make_crowd(gateway.port(), crowd_size, whole_request(10));
    }
    check_bounds(gateway);
    auto const& program = *gateway.service->gateways[0].program;
    CHECK(eventually([&] { return open_descriptors(program) < left_over_bound; }));
    set_silent(gateway, false);
    check_bounds_and_service(gateway);
}

SCENARIO("clients close their connections after their answers")
{
    // Guards against closed connections that the process goes on holding.
    constexpr int request_count = 2400;
    constexpr std::size_t left_over_bound = 96;
    small_gateway const gateway(descriptor_bound);
    for (int i = 0; i < request_count; ++i)
    {
        kept_connection caller(gateway.port());
        CHECK(caller.exchange(whole_request(10)).status == 200);
    }
    auto const& program = *gateway.service->gateways[0].program;
    CHECK(eventually([&] { return open_descriptors(program) < left_over_bound; }));
    check_bounds_and_service(gateway);
}

SCENARIO("a crowd leaves connections idle")
{
    // Guards against descriptors that are held without any request.
    constexpr std::size_t crowd_size = 200;
    small_gateway const gateway(96);
    auto const held = make_crowd(gateway.port(), crowd_size, "");
    check_bounds_and_service(gateway);
}
