#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <set>
#include <thread>

using namespace gooseberrywood::test;
using nlohmann::json;

namespace
{

/// Fails unless the results are each sample once, whole, and scored.
void check_whole(json const& results, std::string const& id, std::vector<int> const& events)
{
    std::set<std::string> seen;
    for (auto const& result : results)
    {
        auto const sample = result.at("id").get<std::string>();
        CHECK(seen.insert(sample).second);
        CHECK(result.at("state") == "done");
        auto const index = std::stoul(sample.substr(id.size() + 2));
        CHECK(result.at("text") == whole_text(sample, events.at(index)));
        CHECK(result.at("score") == "stamp-" + sample + "-score");
    }
    CHECK(seen.size() == events.size());
}

json upstream_state(site_service const& of, std::string const& id)
{
    auto const state = site_state(of);
    for (auto const& one : state.at("upstreams"))
    {
        if (one.at("id") == id)
        {
            return one;
        }
    }
    return {};
}

json gateway_state(gateway_under_test const& of)
{
    return get_json(fmt::format("http://127.0.0.1:{}/state", of.admin_port));
}

bool wait_members(gateway_under_test const& at, std::size_t count)
{
    return eventually([&] { return gateway_state(at).at("members").size() == count; });
}

std::size_t listed_count(site_service const& of, std::size_t gateway, std::string const& id)
{
    return read_results(of.gateways[gateway], id).size();
}

} // namespace

SCENARIO("lookups reach upstreams as the team that holds the key")
{
    site_service service(1);
    auto const& gateway = service.gateways[0];
    auto const answer = call_gateway(gateway, "POST", "/q/1?x=%2F", "desk.example", "r1", "hello");
    CHECK(answer.status == 200);
    CHECK(json::parse(answer.body).at("echo") == "hello");
    CHECK(site_state(service).at("teams").at("r1") == "team-1");
    CHECK(call_gateway(gateway, "POST", "/q/1", "desk.example", "r2", "", "key-9").status == 401);
    CHECK(call_gateway(gateway, "POST", "/none/1", "desk.example", "r3").status == 404);
    CHECK_FALSE(site_state(service).at("runs").contains("r2"));
    WHEN("an upstream takes lookups and stays silent")
    {
        set_site(service, "upstream", {{"id", "desk-0"}, {"silent", true}});
        THEN("each is answered by another one within its deadline")
        {
            for (int i = 0; i < 6; ++i)
            {
                auto const id = fmt::format("s{}", i);
                CHECK(call_gateway(gateway, "POST", "/q/1", "desk.example", id).status == 200);
            }
        }
    }
    WHEN("all upstreams are full")
    {
        set_site(service, "upstream", {{"id", "desk-0"}, {"refuses", true}});
        set_site(service, "upstream", {{"id", "desk-1"}, {"refuses", true}});
        auto const refused = call_gateway(gateway, "POST", "/q/1", "desk.example", "f1");
        THEN("the lookup is refused, truly and with a time to come back")
        {
            CHECK(refused.status == 503);
            CHECK_FALSE(site_state(service).at("runs").contains("f1"));
        }
    }
}

SCENARIO("a batch job is whole at every gateway")
{
    site_service service(2);
    std::vector<int> const events = {3, 4, 5, 6, 40, 3, 3, 3};
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    CHECK(submit(service.gateways[1], "job", events) == 202);
    auto const body =
        call_gateway(service.gateways[1], "GET", "/-/items/job?id=job-s4", "train.example", "b");
    CHECK(body.status == 200);
    CHECK(body.body == "40");
    auto const there = wait_results(service.gateways[1], "job", events.size());
    check_whole(there, "job", events);
    CHECK(wait_results(service.gateways[0], "job", events.size()) == there);
    auto const missing =
        call_gateway(service.gateways[1], "GET", "/-/lots/none", "train.example", "n");
    CHECK(missing.status == 404);
    auto const ended =
        call_gateway(service.gateways[1], "DELETE", "/-/lots/job", "train.example", "e");
    CHECK(ended.status == 200);
    CHECK(read_results(service.gateways[0], "job") == there);
}

SCENARIO("a job survives its owner")
{
    site_service service(2);
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}});
    std::vector<int> const events = {4, 4, 4, 4, 100, 120, 4, 4};
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    REQUIRE(eventually([&] { return listed_count(service, 1, "job") >= 4; }));
    auto const before = read_results(service.gateways[1], "job");
    WHEN("the owner is killed")
    {
        send_signal(*service.gateways[0].program, SIGKILL);
        THEN("another gateway completes it, and what was listed stays where it was")
        {
            auto const after = wait_results(service.gateways[1], "job", events.size());
            check_whole(after, "job", events);
            for (std::size_t i = 0; i < before.size(); ++i)
            {
                CHECK(after[i] == before[i]);
            }
        }
    }
    WHEN("the owner is told to stop")
    {
        send_signal(*service.gateways[0].program, SIGTERM);
        THEN("it leaves the text that it has, and ends")
        {
            check_whole(wait_results(service.gateways[1], "job", events.size()), "job", events);
            CHECK(site_state(service).at("resumed").get<int>() >= 2);
            CHECK(wait_exit(*service.gateways[0].program) == 0);
        }
    }
    WHEN("the owner is told to stop while whole texts wait for their scores")
    {
        // Guards against texts that are dropped between their last event and their score.
        set_site(service, "upstream", {{"id", "desk-0"}, {"refuses", true}});
        set_site(service, "upstream", {{"id", "desk-1"}, {"refuses", true}});
        REQUIRE(submit(service.gateways[0], "late", {60, 60}) == 202);
        (void)wait_event(*service.gateways[0].program, "run_complete",
                         [](json const& line) { return line.at("job") == "late"; });
        auto const runs = site_state(service).at("runs").value("late-s0", 0) +
                          site_state(service).at("runs").value("late-s1", 0);
        send_signal(*service.gateways[0].program, SIGTERM);
        (void)wait_event(*service.gateways[1].program, "job_taken_over",
                         [](json const& line) { return line.at("job") == "late"; });
        set_site(service, "upstream", {{"id", "desk-0"}, {"refuses", false}});
        set_site(service, "upstream", {{"id", "desk-1"}, {"refuses", false}});
        THEN("they are scored by the next owner and not generated again")
        {
            check_whole(wait_results(service.gateways[1], "late", 2), "late", {60, 60});
            auto const state = site_state(service);
            CHECK(state.at("runs").value("late-s0", 0) + state.at("runs").value("late-s1", 0) <=
                  runs + 1);
        }
    }
    WHEN("the owner is paused for longer than its lease and wakes again")
    {
        send_signal(*service.gateways[0].program, SIGSTOP);
        auto const after = wait_results(service.gateways[1], "job", events.size());
        send_signal(*service.gateways[0].program, SIGCONT);
        THEN("it changes nothing")
        {
            check_whole(after, "job", events);
            (void)wait_event(*service.gateways[0].program, "lease_lost");
            CHECK(wait_results(service.gateways[0], "job", events.size()) == after);
            CHECK(read_results(service.gateways[1], "job") == after);
        }
    }
}

SCENARIO("a job is submitted to a weak gateway")
{
    // Guards against a small host that runs a job which needs more than its processor time.
    site_service service(1);
    add_gateway(service, 0.1);
    auto const& strong = service.gateways[0];
    auto const& weak = service.gateways[1];
    (void)wait_members(weak, 2);
    std::vector<int> const events = {3, 4, 5, 6, 200, 3, 3, 200};
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}});
    REQUIRE(submit(weak, "job", events) == 202);
    (void)wait_event(*strong.program, "job_taken_over");
    WHEN("the strong one runs it")
    {
        THEN("it is whole at both")
        {
            auto const results = wait_results(weak, "job", events.size());
            check_whole(results, "job", events);
            CHECK(wait_results(strong, "job", events.size()) == results);
        }
    }
    WHEN("the job is ended at the weak one")
    {
        CHECK(call_gateway(weak, "DELETE", "/-/lots/job", "train.example", "e").status == 200);
        THEN("the strong one hears of it at once")
        {
            (void)wait_event(*strong.program, "job_ended_elsewhere");
            CHECK(eventually([&] { return gateway_state(strong).at("jobs").empty(); }));
        }
    }
    WHEN("the strong one is killed")
    {
        send_signal(*strong.program, SIGKILL);
        THEN("the weak one completes it")
        {
            check_whole(wait_results(weak, "job", events.size()), "job", events);
        }
        THEN("so does it with the next job, though the other is still listed as a member")
        {
            REQUIRE(submit(weak, "next", {3, 3}) == 202);
            check_whole(wait_results(weak, "next", 2), "next", {3, 3});
        }
    }
}

SCENARIO("the store turns away the gateway that runs a job")
{
    // Guards against samples that start after their job was ended elsewhere.
    site_service service(2);
    set_site(service, "upstream", {{"id", "engines-0"}, {"refuses", true}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"refuses", true}});
    REQUIRE(submit(service.gateways[0], "job", {5, 5, 5, 5}) == 202);
    set_site(service, "store", {{"mode", "refuses"}});
    std::this_thread::sleep_for(std::chrono::milliseconds(3100));
    set_site(service, "upstream", {{"id", "engines-0"}, {"refuses", false}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"refuses", false}});
    std::this_thread::sleep_for(std::chrono::milliseconds(800));
    CHECK(site_state(service).at("runs").value("job-s0", 0) == 0);
    WHEN("the store serves it again")
    {
        set_site(service, "store", {{"mode", "serves"}});
        THEN("the job goes on")
        {
            check_whole(wait_results(service.gateways[1], "job", 4), "job", {5, 5, 5, 5});
        }
    }
}

SCENARIO("the store turns one gateway away and serves the others")
{
    // Guards against work that stops, and answers that say nothing, while another gateway could
    // make the calls.
    site_service service(2);
    auto const& away = service.gateways[0];
    auto const& other = service.gateways[1];
    REQUIRE(wait_members(away, 2));
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}});
    std::vector<int> const events = {4, 4, 150, 150};
    REQUIRE(submit(away, "job", events) == 202);
    for (auto const* mode : {"refuses", "loses_answers"})
    {
        CAPTURE(mode);
        set_site(service, "store", {{"mode", mode}, {"side_door_only", true}});
        std::this_thread::sleep_for(std::chrono::milliseconds(3500));
        CHECK(call_gateway(away, "POST", "/q/1", "desk.example", mode).status == 200);
        CHECK(submit(away, std::string("job-") + mode, {3, 3}) == 202);
        CHECK(gateway_state(away).at("lease") != 0);
    }
    auto const results = wait_results(other, "job", events.size());
    check_whole(results, "job", events);
    check_whole(wait_results(away, "job-refuses", 2), "job-refuses", {3, 3});
    CHECK(wait_results(away, "job", events.size()) == results);
    WHEN("the other one is lost as well")
    {
        send_signal(*other.program, SIGKILL);
        THEN("keyed requests are refused in time")
        {
            CHECK(eventually(
                [&] {
                    return call_gateway(away, "POST", "/q/1", "desk.example", "late").status == 503;
                }));
        }
    }
    WHEN("the store serves it again")
    {
        set_site(service, "store", {{"mode", "serves"}});
        THEN("it makes its own calls")
        {
            (void)wait_event(*away.program, "store_path_works");
            CHECK(submit(away, "last", {3}) == 202);
        }
    }
}

SCENARIO("a caller resets its connection before it is accepted")
{
    // Guards against a connection without an address, which the HTTP library can't bear.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    send_signal(*gateway.program, SIGSTOP);
    reset_connection(gateway.http_port);
    send_signal(*gateway.program, SIGCONT);
    (void)wait_event(*gateway.program, "connection_reset_before_accept");
    CHECK(call_gateway(gateway, "POST", "/q/1", "desk.example", "r1").status == 200);
}

SCENARIO("an owner comes back after another one has come and gone")
{
    // Guards against results that are listed a second time by an owner whose runs went on
    // meanwhile.
    site_service service(2);
    set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
    set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}, {"listed", false}});
    (void)wait_event(*service.gateways[0].program, "upstream_removed");
    std::vector<int> const events = {4, 4, 4, 4, 60, 60, 60, 300};
    REQUIRE(submit(service.gateways[0], "job", events) == 202);
    REQUIRE(eventually([&] { return listed_count(service, 1, "job") >= 4; }));
    send_signal(*service.gateways[0].program, SIGSTOP);
    // When the first owner wakes, its runs are broken, and it starts them again here at once.
    set_site(service, "upstream", {{"id", "engines-1"}, {"listed", true}});
    REQUIRE(eventually([&] { return listed_count(service, 1, "job") >= 7; }));
    auto const before = read_results(service.gateways[1], "job");
    send_signal(*service.gateways[1].program, SIGKILL);
    // The lease of the second owner ends, so that the first one can claim the job again.
    std::this_thread::sleep_for(std::chrono::milliseconds(2300));
    send_signal(*service.gateways[0].program, SIGCONT);
    auto const after = wait_results(service.gateways[0], "job", events.size());
    check_whole(after, "job", events);
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        CHECK(after[i] == before[i]);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(read_results(service.gateways[0], "job").size() == events.size());
}

SCENARIO("samples go on while an engine is in trouble")
{
    site_service service(1);
    std::vector<int> const events(12, 20);
    WHEN("one takes samples and stays silent")
    {
        set_site(service, "upstream", {{"id", "engines-0"}, {"silent", true}});
        REQUIRE(submit(service.gateways[0], "job", events) == 202);
        THEN("the job is whole all the same")
        {
            check_whole(wait_results(service.gateways[0], "job", events.size()), "job", events);
        }
    }
    WHEN("one refuses all samples, as while it loads weights")
    {
        set_site(service, "upstream", {{"id", "engines-0"}, {"refuses", true}});
        set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 40}});
        REQUIRE(submit(service.gateways[0], "job", events) == 202);
        check_whole(wait_results(service.gateways[0], "job", events.size()), "job", events);
        THEN("it gets a sample now and then, not each of them again and again")
        {
            CHECK(upstream_state(service, "engines-0").at("refused").get<int>() < 40);
        }
    }
}

SCENARIO("the store fails")
{
    site_service service(2);
    std::vector<int> const events(8, 10);
    WHEN("it loses its answers while a job is submitted")
    {
        set_site(service, "store", {{"mode", "loses_answers"}});
        auto const status = submit(service.gateways[0], "job", events);
        set_site(service, "store", {{"mode", "serves"}});
        THEN("the job is not refused, since it may be stored; sent again it is accepted once")
        {
            CHECK((status == 202 || status == 504));
            CHECK(submit(service.gateways[1], "job", events) == 202);
            check_whole(wait_results(service.gateways[1], "job", events.size()), "job", events);
        }
    }
    WHEN("it answers a submission so late that the job was read from it before")
    {
        // Guards against a job that is started a second time, so that the events of its first runs
        // were taken for those of the second: texts had gaps, and the gateway ended itself.
        set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 30}});
        set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 30}});
        std::vector<int> const long_samples(8, 60);
        set_site(service, "store", {{"mode", "answers_late"}});
        CHECK(submit(service.gateways[0], "late", long_samples) == 202);
        set_site(service, "store", {{"mode", "serves"}});
        THEN("it is run once and whole")
        {
            check_whole(wait_results(service.gateways[0], "late", long_samples.size()), "late",
                        long_samples);
            auto const runs = site_state(service).at("runs");
            for (std::size_t i = 0; i < long_samples.size(); ++i)
            {
                CHECK(runs.value(fmt::format("late-s{}", i), 0) == 1);
            }
        }
    }
    WHEN("it refuses all calls")
    {
        set_site(service, "store", {{"mode", "refuses"}});
        THEN("a new job is refused, and its readers are not told that there is none")
        {
            CHECK(submit(service.gateways[0], "job", events) == 503);
            auto const read =
                call_gateway(service.gateways[0], "GET", "/-/lots/job", "train.example", "r");
            CHECK(read.status == 503);
        }
        THEN("the gateway asks for no more callers, while it still serves those that come")
        {
            // Guards against jobs that are sent to a gateway which can't store them.
            auto const ready =
                fmt::format("http://127.0.0.1:{}/readyz", service.gateways[0].admin_port);
            CHECK(eventually([&] { return fetch({ready})->status == 503; }));
            CHECK(call_gateway(service.gateways[0], "POST", "/q/1", "desk.example", "k0").status ==
                  200);
        }
        THEN("keys work on until one that was withdrawn may not any more")
        {
            CHECK(call_gateway(service.gateways[0], "POST", "/q/1", "desk.example", "k1").status ==
                  200);
            CHECK(eventually(
                [&] {
                    return call_gateway(service.gateways[0], "POST", "/q/1", "desk.example", "k2")
                               .status == 503;
                }));
            set_site(service, "store", {{"mode", "serves"}});
            CHECK(eventually(
                [&] {
                    return call_gateway(service.gateways[0], "POST", "/q/1", "desk.example", "k3")
                               .status == 200;
                }));
        }
    }
    WHEN("it fails for a while during a job")
    {
        set_site(service, "upstream", {{"id", "engines-0"}, {"event_ms", 60}});
        set_site(service, "upstream", {{"id", "engines-1"}, {"event_ms", 60}});
        REQUIRE(submit(service.gateways[0], "job", events) == 202);
        set_site(service, "store", {{"mode", "loses_answers"}});
        (void)wait_event(*service.gateways[0].program, "results_not_stored");
        set_site(service, "store", {{"mode", "serves"}});
        THEN("each result is listed once")
        {
            check_whole(wait_results(service.gateways[1], "job", events.size()), "job", events);
        }
    }
}

SCENARIO("one gateway carries out the duties")
{
    site_service service(2);
    WHEN("a version of the weights is named")
    {
        set_site(service, "put",
                 {{"key", "op/version/m"}, {"value", {{"model", "m"}, {"version", 2}}}});
        THEN("all engines of the model load it, each by one order")
        {
            CHECK(eventually(
                [&]
                {
                    return upstream_state(service, "engines-0").at("weights").at("m") == 2 &&
                           upstream_state(service, "engines-1").at("weights").at("m") == 2;
                }));
            CHECK(upstream_state(service, "engines-0").at("orders") == 1);
            CHECK(upstream_state(service, "engines-1").at("orders") == 1);
        }
        THEN("a job that needs it is generated under it")
        {
            std::vector<int> const events(4, 5);
            REQUIRE(submit(service.gateways[0], "job", events, 2) == 202);
            for (auto const& result : wait_results(service.gateways[1], "job", 4))
            {
                CHECK(result.at("versions") == json::array({2}));
            }
        }
    }
    WHEN("lookups come at both gateways")
    {
        for (int i = 0; i < 10; ++i)
        {
            (void)call_gateway(service.gateways[static_cast<std::size_t>(i % 2)], "POST", "/q/1",
                               "desk.example", fmt::format("u{}", i));
        }
        THEN("they are reported once, in windows that no other report names")
        {
            auto const total = [&]
            {
                int sum = 0;
                std::set<std::int64_t> windows;
                auto const state = site_state(service);
                for (auto const& report : state.at("reports"))
                {
                    CHECK(windows.insert(report.at("window").get<std::int64_t>()).second);
                    sum += report.at("counts").value("team-1", 0);
                }
                return sum;
            };
            CHECK(eventually([&] { return total() >= 10; }, std::chrono::seconds(15)));
            CHECK(total() == 10);
        }
    }
}
