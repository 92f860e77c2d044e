#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

/// Time after which a result that was shown must be shown by every gateway.
constexpr auto settle_time = 1000ms;

bool is_stored(site_service const& service, std::string const& key)
{
    auto const state = site_state(service);
    auto const& keys = state.at("keys");
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

http_response read_from(gateway_under_test const& at, std::string const& id, std::size_t position)
{
    return call_gateway(at, "GET", fmt::format("/-/lots/{}?after={}", id, position),
                        "train.example", "read");
}

/// Whether a gateway shows a position, or says that it can't be sure.
bool shows_or_is_unsure(gateway_under_test const& at, std::string const& id, std::size_t position)
{
    auto const answer = read_from(at, id, position);
    CAPTURE(answer.status);
    CAPTURE(answer.body);
    return answer.status == 503 ||
           (answer.status == 200 && !json::parse(answer.body).at("results").empty());
}

} // namespace

SCENARIO("the answers to an owner's writes are lost though its results are stored")
{
    // Guards against an owner that shows fewer results than another gateway has shown.
    site_service service(3);
    auto const& owner = service.gateways[0];
    auto const& reader = service.gateways[1];
    auto const& other = service.gateways[2];
    REQUIRE(wait_members(other, 3));
    REQUIRE(wait_members(reader, 3));
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 60}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 60}});
    std::vector<int> const events = {5, 5, 5, 5, 150, 150};
    REQUIRE(submit(owner, "job", events) == 202);
    set_site(service, "store", {{"mode", "loses_commits"}});
    (void)wait_event(*owner.program, "results_not_stored");
    REQUIRE(is_stored(service, "job/job/result/00000000"));
    WHEN("a gateway that can't ask the owner shows them from the store")
    {
        send_signal(*owner.program, SIGSTOP);
        auto const shown = listed_count(service, 1, "job");
        send_signal(*owner.program, SIGCONT);
        REQUIRE(shown > 0);
        std::this_thread::sleep_for(settle_time);
        THEN("no gateway shows fewer")
        {
            for (std::size_t position = 0; position < shown; ++position)
            {
                CAPTURE(position);
                CHECK(shows_or_is_unsure(owner, "job", position));
                CHECK(shows_or_is_unsure(other, "job", position));
                CHECK(shows_or_is_unsure(reader, "job", position));
            }
        }
        AND_WHEN("the answers arrive again")
        {
            set_site(service, "store", {{"mode", "serves"}});
            THEN("all gateways show the same results")
            {
                auto const results = wait_results(owner, "job", events.size());
                check_whole(results, "job", events);
                CHECK(wait_results(reader, "job", events.size()) == results);
                CHECK(wait_results(other, "job", events.size()) == results);
            }
        }
    }
}

SCENARIO("all gateways are killed after a job was accepted")
{
    // Guards against a job, or the body of an item, that is denied by gateways which know nothing
    // of it yet.
    site_service service(2);
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 40}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 40}});
    std::vector<int> const events = {5, 5, 60, 60};
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    for (auto const& gateway : service.gateways)
    {
        send_signal(*gateway.program, SIGKILL);
    }
    service.gateways.clear();
    add_gateway(service);
    add_gateway(service);
    for (auto const* mode : {"serves", "loses_answers", "refuses", "serves"})
    {
        CAPTURE(mode);
        set_site(service, "store", {{"mode", mode}});
        auto const until = std::chrono::steady_clock::now() + 1s;
        while (std::chrono::steady_clock::now() < until)
        {
            for (auto const& gateway : service.gateways)
            {
                auto const results = read_from(gateway, "job", 0).status;
                CHECK((results == 200 || results == 503));
                auto const body =
                    call_gateway(gateway, "GET", "/-/items/job?id=job-s3", "train.example", "body");
                CHECK((body.status == 503 || (body.status == 200 && body.body == "60")));
            }
        }
    }
    for (auto const& gateway : service.gateways)
    {
        check_whole(wait_results(gateway, "job", events.size()), "job", events);
    }
}
