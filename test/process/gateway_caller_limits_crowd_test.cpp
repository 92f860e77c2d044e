#include "process/support/crowd.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <glib.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace gooseberrywood::test;

namespace
{

using nlohmann::json;

constexpr std::size_t largest_body = 33'554'432;

/// Memory and descriptors of the smallest host.
constexpr std::size_t smallest_memory = 112'000'000;
constexpr char const* smallest_host = "memory_mb = 112\nmax_descriptors = 2870";

#ifdef __SANITIZE_ADDRESS__
// The allocator of the sanitizer pads blocks, shadows them and keeps released ones for seconds.
constexpr std::size_t memory_bound = 3 * smallest_memory;
#else
constexpr std::size_t memory_bound = smallest_memory;
#endif

/// The limits that all deployments state.
json usual_limits()
{
    return {{"max_body_bytes", largest_body},
            {"max_header_bytes", 16384},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}};
}

/// Bytes without a short period, so that a part that is missing or repeated shows.
std::string large_body()
{
    std::string body(largest_body, ' ');
    std::uint32_t state = 1;
    std::generate(body.begin(), body.end(),
                  [&]
                  {
                      state = state * 1664525U + 1013904223U;
                      return static_cast<char>(state >> 24U);
                  });
    return body;
}

std::string digest_of(std::string const& body)
{
    std::unique_ptr<char, decltype(&g_free)> const digest(
        g_compute_checksum_for_data(G_CHECKSUM_SHA256, reinterpret_cast<guchar const*>(body.data()),
                                    body.size()),
        g_free);
    return digest.get();
}

std::string in_chunks(std::string const& body, std::size_t chunk_bytes)
{
    std::string chunks;
    for (std::size_t at = 0; at < body.size(); at += chunk_bytes)
    {
        auto const chunk = body.substr(at, chunk_bytes);
        chunks += fmt::format("{:x}\r\n", chunk.size()) + chunk + "\r\n";
    }
    return chunks + "0\r\n\r\n";
}

/// Answers the next lookups without an echo of their bodies.
void queue_answers(site_service const& service, json const& first)
{
    std::string const whole =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: stamp\r\nContent-Length: 2\r\n\r\nok";
    auto answers = json::array();
    if (!first.is_null())
    {
        answers.push_back(first);
    }
    answers.push_back({{"bytes", whole}});
    set_site(service, "raw", {{"service", "desk"}, {"answers", answers}});
}

std::string head_of(std::string const& id, std::string const& headers)
{
    return fmt::format("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
                       "Deadline-Ms: 30000\r\nAuthorization: Bearer key-1\r\n{}\r\n",
                       id, headers);
}

bool has_run(site_service const& service, std::string const& id)
{
    return site_state(service).at("runs").contains(id);
}

/// Fails unless the answer is whole and says that the request did not run.
void check_refused(kept_answer const& answer, unsigned status)
{
    CHECK(answer.status == status);
    CHECK(answer.announces_close);
    auto const body = json::parse(answer.body, nullptr, false);
    REQUIRE(body.is_object());
    CHECK(body.at("error").at("not_run") == true);
}

} // namespace

SCENARIO("a single request with the largest body is served on the smallest host")
{
    // Guards against limits that refuse what the configuration allows, and against copies of a body
    // that exceed the memory of the host.
    site_service const service(1, 2, smallest_host);
    auto const& gateway = service.gateways[0];
    change_limits(service, usual_limits());
    change_route(service, "lookup", {{"timeout_ms", 30000}, {"target_latency_ms", 20000}});
    change_limits(service, usual_limits());
    auto const body = large_body();
    auto const digest = digest_of(body);
    kept_connection caller(gateway.http_port);
    WHEN("the body has a length")
    {
        queue_answers(service, nullptr);
        auto const answer = caller.exchange(
            head_of("length", fmt::format("Content-Length: {}\r\n", body.size())) + body);
        CHECK(answer.status == 200);
        CHECK(site_state(service).at("digests").value("length", "") == digest);
    }
    WHEN("the body comes in chunks")
    {
        queue_answers(service, nullptr);
        auto const answer = caller.exchange(head_of("chunks", "Transfer-Encoding: chunked\r\n") +
                                            in_chunks(body, 10'000));
        CHECK(answer.status == 200);
        CHECK(site_state(service).at("digests").value("chunks", "") == digest);
    }
    WHEN("the first upstream breaks off")
    {
        queue_answers(service, {{"bytes", "HTTP/1.1 "}, {"resets", true}});
        auto const answer = caller.exchange(
            head_of("retry", fmt::format("Content-Length: {}\r\n", body.size())) + body);
        CHECK(answer.status == 200);
        auto const state = site_state(service);
        CHECK(state.at("runs").value("retry", 0) == 2);
        CHECK(state.at("digests").value("retry", "") == digest);
    }
    CHECK(most_resident_bytes(*gateway.program) < memory_bound);
}

SCENARIO("requests outside the limits of the configuration get a whole answer")
{
    // Guards against connections that are closed without an answer, and against requests that run
    // though they were rejected.
    site_service const service(1);
    change_limits(service, {{"max_body_bytes", 100'000},
                            {"max_header_bytes", 4096},
                            {"header_timeout_ms", 1000},
                            {"idle_timeout_ms", 1000}});
    auto const port = service.gateways[0].http_port;
    kept_connection caller(port);
    WHEN("a chunked body exceeds the limit")
    {
        check_refused(caller.exchange(lookup_head("chunked", "Transfer-Encoding: chunked\r\n") +
                                      unfinished_chunks(300'000, 10'000)),
                      413);
        CHECK_FALSE(has_run(service, "chunked"));
    }
    WHEN("the announced length exceeds the limit")
    {
        check_refused(caller.exchange(lookup_head("announced", "Content-Length: 100001\r\n") +
                                      std::string(100'001, 'x')),
                      413);
        CHECK_FALSE(has_run(service, "announced"));
    }
    WHEN("the announced length exceeds the limit, and the client waits to be asked for the body")
    {
        check_refused(caller.exchange(lookup_head(
                          "waits", "Content-Length: 100001\r\nExpect: 100-continue\r\n")),
                      413);
        CHECK_FALSE(has_run(service, "waits"));
    }
    WHEN("the head exceeds the limit")
    {
        check_refused(caller.exchange(lookup_head(
                          "head", fmt::format("X-Filler: {}\r\n", std::string(5000, 'x')))),
                      431);
        CHECK_FALSE(has_run(service, "head"));
    }
    WHEN("a head stops short of its end")
    {
        check_refused(caller.exchange("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\n"), 408);
    }
    WHEN("a body stops just short of its end")
    {
        check_refused(caller.exchange(lookup_head("stopped", "Content-Length: 1000\r\n") +
                                      std::string(999, 'x')),
                      408);
        CHECK_FALSE(has_run(service, "stopped"));
    }
    WHEN("a long body comes without a valid key")
    {
        check_refused(caller.exchange("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\n"
                                      "Authorization: Bearer nobody\r\n"
                                      "Content-Length: 90000\r\n\r\n"),
                      401);
    }
    WHEN("a connection is idle for longer than the limit")
    {
        CHECK(caller.exchange(lookup_head("idle", "Content-Length: 0\r\n")).status == 200);
        CHECK(caller.wait_end(patience) == connection_end::closed);
    }
    WHEN("the limits are raised")
    {
        change_limits(service, {{"max_body_bytes", 1'000'000}});
        CHECK(caller
                  .exchange(lookup_head("raised", "Content-Length: 200000\r\n") +
                            std::string(200'000, 'x'))
                  .status == 200);
    }
}

SCENARIO("a client waits to be asked for a proper body")
{
    // Guards against requests with Expect that are never asked for their bodies.
    site_service const service(1);
    kept_connection caller(service.gateways[0].http_port);
    caller.send(lookup_head("asked", "Content-Length: 5\r\nExpect: 100-continue\r\n"));
    CHECK(caller.read_answer().status == 100);
    CHECK(caller.exchange("hello").status == 200);
}
