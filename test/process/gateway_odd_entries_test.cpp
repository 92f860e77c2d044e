#include "base/json_fields.hpp"
#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;
namespace base = gooseberrywood::base;
using nlohmann::json;

namespace
{

// Shorter than the time between two reads, so that each read shows other entries.
constexpr auto change_interval = 100ms;

/// An entry as upstreams write it, for a port at which nothing listens.
json entry()
{
    return {{"service", "desk"},
            {"address", "127.0.0.1:1"},
            {"zone", "krapina"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"models", json::array({{{"name", "m"}, {"version", 1}}})},
            {"seq", 1},
            {"born", 1}};
}

/// The entry with one field replaced by text that need not be JSON.
std::string with(std::string const& field, std::string const& text)
{
    auto changed = entry();
    changed[field] = "@";
    auto content = changed.dump();
    return content.replace(content.find("\"@\""), 3, text);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Contents that name no upstream, for the service of lookups and for that of samples.
std::vector<std::string> odd_contents()
{
    return {"",
            std::string("\x00\xFF\xFE\x80", 4),
            std::string(200'000, '['),
            nested(200'000),
            R"({"x":)" + nested(200'000) + "}",
            with("seq", nested(200'000)),
            with("slots", "4294967304"),
            with("slots", "1e400"),
            with("cold_remaining_ms", "1e300"),
            with("cold_remaining_ms", "9223372036854775807"),
            with("born", "-1"),
            with("born", "18446744073709551615"),
            with("models", R"([{"name":"m","version":4294967297}])"),
            with("address", "\"127.0.0.1:0\""),
            with("address", "\"127.0.0.1:65536\""),
            with("address", "\"0.0.0.0:80\""),
            with("address", "\"\\r\\n:80\""),
            with("zone", "{}"),
            with("state", "\"asleep\"")};
}

void put(site_service const& service, std::string const& key, std::string const& content)
{
    set_site(service, "put", {{"key", key}, {"base64", base::to_base64(content)}});
}

void put_all(site_service const& service)
{
    auto const contents = odd_contents();
    // More than one page of the list.
    constexpr std::size_t copies = 3;
    for (std::size_t i = 0; i < copies * contents.size(); ++i)
    {
        put(service, fmt::format("servers/odd-{}", i), contents[i % contents.size()]);
    }
    for (auto const* key :
         {"servers/", "servers/a b", "servers/a\r\nTenant: x", "servers/\xC5\xBE"})
    {
        put(service, key, entry().dump());
    }
}

/// Another writer, which changes one odd entry all the time.
struct odd_writer
{
    explicit odd_writer(site_service const& service)
        : thread(
              [this, &service]
              {
                  auto const contents = odd_contents();
                  for (std::size_t i = 0; !stopping; ++i)
                  {
                      put(service, "servers/odd", contents[i % contents.size()]);
                      std::this_thread::sleep_for(change_interval);
                  }
              })
    {
    }
    odd_writer(odd_writer const&) = delete;
    odd_writer& operator=(odd_writer const&) = delete;
    ~odd_writer()
    {
        stopping = true;
        thread.join();
    }

    std::atomic<bool> stopping = false;
    std::thread thread;
};

std::set<std::string> upstreams_of(gateway_under_test const& gateway)
{
    std::set<std::string> ids;
    auto const state = gateway_state(gateway);
    for (auto const& upstream : state.at("upstreams"))
    {
        ids.insert(upstream.at("id").get<std::string>());
    }
    return ids;
}

bool all_list(site_service const& service, std::set<std::string> const& ids)
{
    return std::all_of(service.gateways.begin(), service.gateways.end(),
                       [&](gateway_under_test const& gateway)
                       { return upstreams_of(gateway) == ids; });
}

bool has_ended(process& program)
{
    std::lock_guard const lock(program.mutex);
    return program.exit_status.has_value();
}

/// Makes lookups at all gateways for a while.
/// \returns the number of those that were not answered with success.
int failed_lookups(site_service const& service, std::chrono::milliseconds duration)
{
    int failed = 0;
    auto const until = std::chrono::steady_clock::now() + duration;
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i)
    {
        auto const& gateway = service.gateways[static_cast<std::size_t>(i) % 3];
        auto const answer =
            call_gateway(gateway, "POST", "/q/1", "desk.example", fmt::format("lookup-{}", i));
        failed += answer.status == 200 ? 0 : 1;
        std::this_thread::sleep_for(5ms);
    }
    return failed;
}

} // namespace

SCENARIO("odd entries among those of the upstreams end no gateway and hide no upstream")
{
    std::set<std::string> const all = {"desk-0", "desk-1", "engines-0", "engines-1"};
    GIVEN("gateways that start while odd entries are there and change at each read")
    {
        site_service service(0);
        put_all(service);
        odd_writer const writer(service);
        for (double const processors : {1.0, 0.2, 0.2})
        {
            add_gateway(service, processors);
        }
        for (auto const& gateway : service.gateways)
        {
            REQUIRE(wait_members(gateway, 3));
        }
        CHECK(eventually([&] { return all_list(service, all); }));
        WHEN("lookups are made and a job runs")
        {
            std::vector<int> const events(12, 300);
            REQUIRE(submit(service.gateways[1], "job", events) == 202);
            CHECK(failed_lookups(service, 4s) == 0);
            THEN("the job is whole, at each gateway")
            {
                for (auto const& gateway : service.gateways)
                {
                    check_whole(wait_results(gateway, "job", events.size()), "job", events);
                }
            }
        }
        WHEN("upstreams go and come")
        {
            set_site(service, "upstream", {{"id", "desk-0"}, {"listed", false}});
            set_site(service, "upstream", {{"id", "engines-1"}, {"listed", false}});
            THEN("all gateways follow")
            {
                CHECK(eventually([&] { return all_list(service, {"desk-1", "engines-0"}); }, 4s));
                CHECK(failed_lookups(service, 1s) == 0);
                set_site(service, "upstream", {{"id", "desk-0"}});
                set_site(service, "upstream", {{"id", "engines-1"}});
                CHECK(eventually([&] { return all_list(service, all); }, 4s));
            }
        }
        for (auto const& gateway : service.gateways)
        {
            CHECK_FALSE(has_ended(*gateway.program));
            CHECK(has_event(*gateway.program, "unreadable_store_entry"));
        }
    }
}
