#include "process/support/crowd.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

using namespace gooseberrywood::test;

namespace
{

std::string request_head(std::string const& id, std::string const& more)
{
    return fmt::format("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
                       "Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n{}\r\n",
                       id, more);
}

/// Answer of the stand-in that does not depend on the size of the request.
void queue_short_answer(site_service const& service)
{
    std::string const answer =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok";
    set_site(service, "raw",
             {{"service", "desk"}, {"answers", {{{"bytes", answer}, {"stays_open", false}}}}});
}

bool has_run(site_service const& service, std::string const& id)
{
    return site_state(service).at("runs").contains(id);
}

} // namespace

SCENARIO("a single request inside the limits is served on the smallest host")
{
    // Guards against limits that refuse what the configuration allows, and against copies of a body
    // that exceed the memory of the host.
    constexpr std::size_t memory_bound = 112'000'000;
    constexpr std::size_t largest_body = 33'554'432;
    site_service service(0);
    add_gateway(service, 1, "memory_limit_mb = 112\ndescriptor_limit = 2870\n");
    change_limits(service, {{"max_body_bytes", largest_body},
                            {"max_header_bytes", 16384},
                            {"header_timeout_ms", 3000},
                            {"idle_timeout_ms", 15000}});
    auto const& gateway = service.gateways[0];
    queue_short_answer(service);
    auto const answer = call_gateway(gateway, "POST", "/q/1", "desk.example", "largest",
                                     std::string(largest_body, 'x'));
    CHECK(answer.status == 200);
    CHECK(answer.body == "ok");
    CHECK(peak_resident_bytes(*gateway.program) < memory_bound);
}

SCENARIO("requests outside the limits of the configuration get a whole answer")
{
    // Guards against connections that are closed without an answer, and against requests that run
    // though they were rejected.
    site_service service(0);
    add_gateway(service);
    change_limits(service, {{"max_body_bytes", 100'000},
                            {"max_header_bytes", 4096},
                            {"header_timeout_ms", 1000},
                            {"idle_timeout_ms", 1000}});
    auto const port = service.gateways[0].http_port;
    WHEN("a chunked body exceeds the limit")
    {
        kept_connection caller(port);
        auto const answer =
            caller.exchange(request_head("chunked", "Transfer-Encoding: chunked\r\n") +
                            unfinished_chunks(300'000, 10'000));
        CHECK(answer.status == 413);
        CHECK(answer.announces_close);
        CHECK_FALSE(has_run(service, "chunked"));
    }
    WHEN("the announced length exceeds the limit")
    {
        kept_connection caller(port);
        auto const answer = caller.exchange(
            request_head("announced", "Content-Length: 100001\r\n") + std::string(100'001, 'x'));
        CHECK(answer.status == 413);
        CHECK_FALSE(has_run(service, "announced"));
    }
    WHEN("the head exceeds the limit")
    {
        kept_connection caller(port);
        auto const answer = caller.exchange(
            request_head("head", fmt::format("X-Filler: {}\r\n", std::string(5000, 'x'))));
        CHECK(answer.status == 431);
        CHECK_FALSE(has_run(service, "head"));
    }
    WHEN("a body stops just short of its end")
    {
        kept_connection caller(port);
        auto const answer = caller.exchange(request_head("stopped", "Content-Length: 1000\r\n") +
                                            std::string(999, 'x'));
        CHECK(answer.status == 408);
        CHECK_FALSE(has_run(service, "stopped"));
    }
    WHEN("the limits are raised")
    {
        change_limits(service, {{"max_body_bytes", 1'000'000}});
        auto const answer = call_gateway(service.gateways[0], "POST", "/q/1", "desk.example",
                                         "raised", std::string(200'000, 'x'));
        CHECK(answer.status == 200);
    }
}
