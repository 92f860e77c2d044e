#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace gooseberrywood::test;

namespace
{

using nlohmann::json;

/// Runs a job of one sample with these headers and returns what its upstream received.
json run_with_headers(site_service const& service, std::string const& id, json const& headers)
{
    auto job = json::parse(make_batch_job(id, {3}));
    job["items"][0]["headers"].update(headers);
    auto const& gateway = service.gateways[0];
    REQUIRE(call_gateway(gateway, "POST", "/t/submit", "train.example", id, job.dump()).status ==
            202);
    check_whole(wait_results(gateway, id, 1), id, {3});
    return site_state(service).at("headers").at(id + "-s0");
}

} // namespace

SCENARIO("the items of a batch job have headers that the gateway sets itself")
{
    // Guards against items that run as another team, carry its key to an upstream, or lack events.
    site_service const service(1);
    auto const plain = run_with_headers(service, "plain", json::object());
    GIVEN("another team and the key of a team")
    {
        auto const received = run_with_headers(
            service, "team", {{"Tenant", "team-2"}, {"authorization", "Bearer key-1"}});
        CHECK(received.at("tenant") == "team-1");
        CHECK_FALSE(received.contains("authorization"));
    }
    GIVEN("headers that name the request, its upstream and its framing")
    {
        auto const received = run_with_headers(service, "names",
                                               {{"ATTEMPT-ID", "other"},
                                                {"Host", "other.example"},
                                                {"Expect-Instance", "other"},
                                                {"Content-Length", "1"},
                                                {"Transfer-Encoding", "chunked"},
                                                {"Connection", "close"}});
        CHECK(received.at("attempt-id") == "names-s0");
        CHECK(received.at("host") == plain.at("host"));
        CHECK(received.at("expect-instance") != "other");
        CHECK(received.at("content-length") == plain.at("content-length"));
        CHECK_FALSE(received.contains("transfer-encoding"));
    }
    GIVEN("a header that resumes a stream")
    {
        auto const received =
            run_with_headers(service, "resumed", {{"Last-Event-Id", "2"}, {"X-Trace", "t"}});
        CHECK_FALSE(received.contains("last-event-id"));
        CHECK(received.at("x-trace") == "t");
    }
}
