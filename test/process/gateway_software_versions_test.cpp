#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// Gateways read the list of upstreams each 0.6 s here.
constexpr auto list_time = 1500ms;

void set_version(site_service const& service, std::string const& id, std::string const& version)
{
    set_site(service, "upstream",
             {{"id", id}, {"software_version", version}, {"marks_events", true}, {"event_ms", 20}});
}

/// Software versions that made the events of a text, as the events say.
std::set<std::string> versions_in(std::string const& text)
{
    std::set<std::string> versions;
    for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', at + 1))
    {
        versions.insert(text.substr(at + 1, text.find('\n', at) - at - 1));
    }
    return versions;
}

std::size_t count_events(std::string const& text)
{
    return 1 + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

void check_one_version_each(json const& results, int events)
{
    for (auto const& result : results)
    {
        auto const text = result.at("text").get<std::string>();
        CAPTURE(text);
        CHECK(result.at("state") == "done");
        CHECK(versions_in(text).size() == 1);
        CHECK(count_events(text) == static_cast<std::size_t>(events));
    }
}

} // namespace

SCENARIO("a sample that breaks off goes on at the software version that began it")
{
    site_service service(2);
    constexpr int events = 60;
    std::vector<int> const samples(8, events);
    auto const& gateway = service.gateways[0];
    auto const run_until_streaming = [&]
    {
        REQUIRE(submit(gateway, "job", samples) == 202);
        REQUIRE(eventually(
            [&]
            {
                return upstream_state(service, "engines-0").at("running") > 0 &&
                       upstream_state(service, "engines-1").at("running") > 0;
            }));
        std::this_thread::sleep_for(300ms);
    };
    GIVEN("engines of two versions")
    {
        set_version(service, "engines-0", "v1");
        set_version(service, "engines-1", "v2");
        std::this_thread::sleep_for(list_time);
        run_until_streaming();
        WHEN("the one of the old version breaks off its streams and comes back")
        {
            set_site(service, "upstream", {{"id", "engines-0"}, {"drops_runs", true}});
            THEN("its texts go on there")
            {
                auto const results = wait_results(gateway, "job", samples.size());
                check_one_version_each(results, events);
                CHECK(site_state(service).at("resumed") > 0);
            }
        }
        WHEN("the one of the old version leaves")
        {
            set_site(
                service, "upstream",
                {{"id", "engines-0"}, {"drops_runs", true}, {"listed", false}, {"refuses", true}});
            THEN("its texts begin anew")
            {
                check_one_version_each(wait_results(gateway, "job", samples.size()), events);
            }
        }
        WHEN("the one of the old version starts again with the new one, under its id")
        {
            set_site(service, "upstream",
                     {{"id", "engines-0"}, {"drops_runs", true}, {"software_version", "v2"}});
            THEN("its texts don't go on there once the list shows it")
            {
                auto const results = wait_results(gateway, "job", samples.size());
                for (auto const& result : results)
                {
                    CHECK(count_events(result.at("text").get<std::string>()) == events);
                }
            }
        }
    }
    GIVEN("engines of one version")
    {
        set_version(service, "engines-0", "v1");
        set_version(service, "engines-1", "v1");
        std::this_thread::sleep_for(list_time);
        run_until_streaming();
        WHEN("one leaves")
        {
            set_site(
                service, "upstream",
                {{"id", "engines-0"}, {"drops_runs", true}, {"listed", false}, {"refuses", true}});
            THEN("its texts go on at the other one")
            {
                check_one_version_each(wait_results(gateway, "job", samples.size()), events);
                CHECK(site_state(service).at("resumed") > 0);
            }
        }
    }
}

SCENARIO("saved texts go on at the software version that began them after all gateways were killed")
{
    site_service service(2);
    constexpr int events = 200;
    std::vector<int> const samples(8, events);
    set_version(service, "engines-0", "v1");
    set_version(service, "engines-1", "v2");
    std::this_thread::sleep_for(list_time);
    REQUIRE(submit(service.gateways[0], "job", samples) == 202);
    // Texts are saved each 1.2 s.
    std::this_thread::sleep_for(2500ms);
    for (auto const& gateway : service.gateways)
    {
        send_signal(*gateway.program, SIGKILL);
    }
    WHEN("both versions serve when gateways come back")
    {
        add_gateway(service);
        auto const results = wait_results(service.gateways.back(), "job", samples.size());
        check_one_version_each(results, events);
        THEN("texts were resumed")
        {
            CHECK(site_state(service).at("resumed") > 0);
        }
    }
    WHEN("the old version has left when gateways come back")
    {
        set_site(service, "upstream", {{"id", "engines-0"}, {"listed", false}, {"refuses", true}});
        add_gateway(service);
        THEN("its texts begin anew")
        {
            auto const results = wait_results(service.gateways.back(), "job", samples.size());
            check_one_version_each(results, events);
        }
    }
}
