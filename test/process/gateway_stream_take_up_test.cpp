#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <string>
#include <thread>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;

namespace
{

constexpr int events = 8;
constexpr int received_events = 3;

/// Software version that made the events of a stream; "mixed" when there are several.
std::string version_of(std::string const& stream)
{
    bool const has_old = stream.find("@v1") != std::string::npos;
    bool const has_new = stream.find("@v2") != std::string::npos;
    return has_old && has_new ? "mixed" : has_old ? "v1" : "v2";
}

http_response begin_stream(gateway_under_test const& at, std::string const& id)
{
    return call_gateway(at, "POST", "/s/1", "chat.example", id, std::to_string(events));
}

/// Takes a stream up after the events that its caller has received.
/// \param begun_by attempt that began it; empty names none.
http_response take_up(gateway_under_test const& at, std::string const& id,
                      std::string const& begun_by)
{
    std::vector<std::pair<std::string, std::string>> headers = {
        {"Last-Event-Id", std::to_string(received_events)}};
    if (!begun_by.empty())
    {
        headers.emplace_back("Resumes", begun_by);
    }
    return call_gateway(at, "POST", "/s/1", "chat.example", id, std::to_string(events), "key-1",
                        headers);
}

void set_version(site_service const& service, std::string const& id, std::string const& version,
                 bool listed = true)
{
    set_site(
        service, "upstream",
        {{"id", id}, {"software_version", version}, {"marks_events", true}, {"listed", listed}});
}

} // namespace

SCENARIO("a caller takes a stream up at a gateway that did not begin it")
{
    // Guards against streams that are joined from two software versions.
    site_service service(2);
    set_version(service, "engines-0", "v1");
    set_version(service, "engines-1", "v2");
    std::this_thread::sleep_for(1500ms);
    auto const& one = service.gateways[0];
    auto const& other = service.gateways[1];
    WHEN("engines of both versions serve")
    {
        int resumed = 0;
        for (int i = 0; i < 16; ++i)
        {
            auto const id = fmt::format("a{}", i);
            // Idle gateways choose the first engine, so that every other stream would cross.
            set_site(service, "upstream", {{"id", "engines-0"}, {"refuses", i % 2 == 1}});
            auto const begun = begin_stream(one, id);
            REQUIRE(begun.status == 200);
            set_site(service, "upstream", {{"id", "engines-0"}, {"refuses", false}});
            auto const rest = take_up(other, id + "-again", id);
            resumed += rest.status == 200 ? 1 : 0;
            CHECK(version_of(rest.body) == version_of(begun.body));
            CHECK(rest.body.find(fmt::format("id: {}\n", received_events)) == std::string::npos);
            CHECK(rest.body.find(fmt::format("id: {}\n", events)) != std::string::npos);
        }
        THEN("each goes on at the version that began it")
        {
            CHECK(resumed == 16);
        }
    }
    WHEN("all gateways are killed before")
    {
        auto const begun = begin_stream(one, "a");
        send_signal(*one.program, SIGKILL);
        send_signal(*other.program, SIGKILL);
        add_gateway(service);
        THEN("a gateway that starts afterwards knows what began it")
        {
            auto const rest = take_up(service.gateways.back(), "b", "a");
            CHECK(rest.status == 200);
            CHECK(version_of(rest.body) == version_of(begun.body));
        }
    }
    WHEN("the version that began it has left")
    {
        auto const begun = begin_stream(one, "a");
        auto const old = version_of(begun.body) == "v1" ? "engines-0" : "engines-1";
        set_version(service, old, version_of(begun.body), false);
        (void)wait_event(*other.program, "upstream_removed");
        THEN("the request is refused, and runs nowhere")
        {
            CHECK(take_up(other, "b", "a").status == 503);
            CHECK_FALSE(site_state(service).at("runs").contains("b"));
        }
    }
    WHEN("the store is down")
    {
        auto const begun = begin_stream(one, "a");
        set_site(service, "store", {{"mode", "refuses"}});
        THEN("only the gateway that began it goes on")
        {
            CHECK(version_of(take_up(one, "b", "a").body) == version_of(begun.body));
            CHECK(take_up(other, "c", "a").status == 503);
            CHECK_FALSE(site_state(service).at("runs").contains("c"));
        }
    }
    WHEN("the stream began while the store was down")
    {
        set_site(service, "store", {{"mode", "refuses"}});
        auto const begun = begin_stream(one, "a");
        CHECK(begun.status == 200);
        set_site(service, "store", {{"mode", "serves"}});
        THEN("another gateway refuses to go on, as it can't know what began it")
        {
            CHECK(take_up(other, "b", "a").status == 503);
            CHECK(take_up(one, "c", "a").status == 200);
        }
    }
    WHEN("the store answers late")
    {
        set_site(service, "store", {{"mode", "answers_late"}});
        auto const begun = begin_stream(one, "a");
        CHECK(begun.status == 200);
        THEN("the stream goes on at the version that began it, or not at all")
        {
            auto const rest = take_up(other, "b", "a");
            CHECK((rest.status == 503 || version_of(rest.body) == version_of(begun.body)));
        }
    }
    WHEN("the caller does not name what began it, or names nothing known")
    {
        (void)begin_stream(one, "a");
        CHECK(take_up(other, "b", "").status == 503);
        CHECK(take_up(other, "c", "unknown").status == 503);
        CHECK_FALSE(site_state(service).at("runs").contains("b"));
    }
}

namespace
{

/// Lets a gateway stand still while all engines start again, under their ids, with another version.
void change_versions_unseen(site_service const& service, gateway_under_test const& unseen_by,
                            std::string const& version)
{
    send_signal(*unseen_by.program, SIGSTOP);
    // Longer than the time in which a change of the list must be known.
    std::this_thread::sleep_for(2300ms);
    for (auto const* id : {"engines-0", "engines-1"})
    {
        set_version(service, id, version);
    }
}

} // namespace

SCENARIO("a gateway that stood still takes up a stream by the list that it knew before")
{
    // Guards against a stream that goes on at an upstream that has another version by now.
    site_service service(1);
    // An open route, since keys are not trusted by an old list either.
    change_route(service, "chat", {{"public", true}});
    set_version(service, "engines-0", "v1");
    set_version(service, "engines-1", "v1");
    std::this_thread::sleep_for(1500ms);
    auto const& gateway = service.gateways[0];
    auto const begun = begin_stream(gateway, "a");
    REQUIRE(version_of(begun.body) == "v1");
    for (int i = 0; i < 8; ++i)
    {
        auto const id = fmt::format("b{}", i);
        http_response rest;
        std::thread caller;
        change_versions_unseen(service, gateway, "v2");
        caller = std::thread([&] { rest = take_up(gateway, id, "a"); });
        std::this_thread::sleep_for(100ms);
        send_signal(*gateway.program, SIGCONT);
        caller.join();
        CHECK(rest.status == 503);
        CHECK_FALSE(site_state(service).at("runs").contains(id));
        for (auto const* engine : {"engines-0", "engines-1"})
        {
            set_version(service, engine, "v1");
        }
        std::this_thread::sleep_for(1500ms);
    }
}

SCENARIO("a gateway that is cut off begins a stream and takes up another by an old list")
{
    // Guards against versions that a gateway tells from a list that nobody reads for it any more.
    site_service service(1);
    // An open route, since keys are not trusted by an old list either.
    change_route(service, "chat", {{"public", true}});
    set_version(service, "engines-0", "v1");
    set_version(service, "engines-1", "v1");
    std::this_thread::sleep_for(1500ms);
    auto const& gateway = service.gateways[0];
    REQUIRE(version_of(begin_stream(gateway, "a").body) == "v1");
    set_site(service, "store", {{"mode", "refuses"}});
    std::this_thread::sleep_for(2300ms);
    for (auto const* id : {"engines-0", "engines-1"})
    {
        set_version(service, id, "v2");
    }
    CHECK(take_up(gateway, "b", "a").status == 503);
    CHECK_FALSE(site_state(service).at("runs").contains("b"));
    // It is served, but nothing tells for sure which version began it.
    CHECK(begin_stream(gateway, "c").status == 200);
    set_site(service, "store", {{"mode", "serves"}});
    for (auto const* id : {"engines-0", "engines-1"})
    {
        set_version(service, id, "v1");
    }
    std::this_thread::sleep_for(1500ms);
    CHECK(take_up(gateway, "d", "c").status == 503);
    CHECK_FALSE(site_state(service).at("runs").contains("d"));
    CHECK(take_up(gateway, "e", "a").status == 200);
}
