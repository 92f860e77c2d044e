#include "base/hash.hpp"
#include "process/support/deployment.hpp"
#include "process/support/orders.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <future>

using namespace gooseberrywood;
using namespace gooseberrywood::test;

namespace
{

constexpr std::string_view bundle_text = R"(
version = 1
deployment = "test"
domains = ["krapina", "zabok"]
[[teams]]
name = "zlatar"
key_hashes = ["{zlatar}"]
[[teams]]
name = "kumrovec"
key_hashes = ["{kumrovec}"]
routes = ["planner-lm"]
[[routes]]
name = "planner-lm"
kind = "model"
fresh_limit = 8
max_limit = 8
warm_up_s = 0
timeout_s = 60
[[routes]]
name = "stock"
kind = "service"
path_prefix = "/stock"
timeout_s = 30
fresh_limit = 8
max_limit = 8
warm_up_s = 0
[[routes]]
name = "lookup"
kind = "service"
path_prefix = "/lookup"
open = true
open_team = "zlatar"
)";

std::string make_bundle()
{
    std::string text(bundle_text);
    for (std::string const team : {"zlatar", "kumrovec"})
    {
        auto const mark = "{" + team + "}";
        text.replace(text.find(mark), mark.size(), base::sha256_hex(team + "-key"));
    }
    return text;
}

std::vector<std::unique_ptr<upstream_standin>>
host_upstreams(std::string const& number, std::vector<std::string> const& engine_flags = {})
{
    std::vector<std::unique_ptr<upstream_standin>> out;
    out.push_back(make_upstream("planner-lm-" + number, "planner-lm", engine_flags));
    out.push_back(make_upstream("stock-" + number, "stock", {"--kind=service"}));
    out.push_back(make_upstream("lookup-" + number, "lookup", {"--kind=service"}));
    return out;
}

/// Two hosts in two failure domains and one entry.
struct small_deployment
{
    explicit small_deployment(std::vector<std::string> const& engine_flags = {})
        : processes(make_bundle())
    {
        add_agent(processes, "h1", "krapina", host_upstreams("1", engine_flags));
        add_agent(processes, "h2", "zabok", host_upstreams("2", engine_flags));
        add_entry(processes, "e1", "krapina");
    }

    deployment processes;

    entry_host& entry()
    {
        return *processes.entries.front();
    }
};

/// The agent whose engine runs something.
agent_host& busy_agent(deployment& in)
{
    agent_host* found = nullptr;
    REQUIRE(eventually(
        [&]
        {
            for (auto const& a : in.agents)
            {
                if (get_json(a->upstreams[0]->url() + "/standin/stats").at("running") > 0)
                {
                    found = a.get();
                }
            }
            return found != nullptr;
        }));
    return *found;
}

struct read_stream
{
    std::string text;
    bool done = false;
    std::string error;
};

/// Reads a stream to its end and calls back after a number of tokens.
read_stream read_all(http_request const& request, std::size_t tokens_before,
                     std::function<void()> const& then)
{
    read_stream out;
    auto stream = open_stream(request);
    REQUIRE(stream.has_value());
    std::size_t tokens = 0;
    while (true)
    {
        auto const event = next_event(*stream);
        if (!event || !*event)
        {
            return out;
        }
        if (**event == "[DONE]")
        {
            out.done = true;
            continue;
        }
        auto const json = nlohmann::json::parse(**event);
        if (json.contains("error"))
        {
            out.error = json.at("error").at("name").get<std::string>();
            continue;
        }
        out.text += json.at("choices").at(0).value("text", "");
        if (++tokens == tokens_before)
        {
            then();
        }
    }
}

} // namespace

SCENARIO("requests are served end to end by separate processes")
{
    small_deployment d;
    auto const& e = d.entry();

    GIVEN("a completion")
    {
        auto const whole = fetch(completion(e, "zlatar-key", "saddle stitch", 12, false));
        REQUIRE(whole.has_value());
        CHECK(whole->status == 200);
        THEN("it is counted on the entry's and the agents' metrics pages")
        {
            auto const metrics_of = [](std::uint16_t port)
            {
                return fetch({fmt::format("http://127.0.0.1:{}/metrics", port)})->body;
            };
            CHECK(metrics_of(e.admin_port)
                      .find("gooseberrywood_generated_tokens_total{route=\"planner-lm\","
                            "team=\"zlatar\"} 12") != std::string::npos);
            std::string both;
            for (auto const& a : d.processes.agents)
            {
                both += metrics_of(a->admin_port);
            }
            CHECK(both.find("outcome=\"completed\"") != std::string::npos);
        }
        THEN("the streamed answer has the same text and an end mark")
        {
            auto const streamed =
                read_all(completion(e, "kumrovec-key", "saddle stitch", 12, true), 0, [] {});
            CHECK(streamed.text == text_of(*whole));
            CHECK(streamed.done);
        }
    }
    GIVEN("requests to plain services")
    {
        auto const order = fetch(post_order(e, "{\"order\":1}"));
        REQUIRE(order.has_value());
        CHECK(order->status == 200);
        auto const open = fetch({e.url() + "/lookup/spine"});
        REQUIRE(open.has_value());
        CHECK(open->status == 200);
        THEN("the order ran once and no upstream received a key")
        {
            CHECK(order_executions(d.processes, "{\"order\":1}") == 1);
            for (auto const& a : d.processes.agents)
            {
                for (auto const& u : a->upstreams)
                {
                    CHECK(executions(*u).dump().find("zlatar-key") == std::string::npos);
                }
            }
        }
    }
    GIVEN("many requests on one connection")
    {
        // Guards against connections that are closed after an answer, and against bodies that wait
        // for the caller's delayed acknowledgement, 40 ms each.
        open_connection const connection;
        constexpr int count = 50;
        auto const begin = std::chrono::steady_clock::now();
        for (int i = 0; i < count; ++i)
        {
            auto const answer = fetch(connection, {e.url() + "/lookup/spine"});
            REQUIRE(answer.has_value());
            CHECK(answer->status == 200);
        }
        CHECK(std::chrono::steady_clock::now() - begin < count * std::chrono::milliseconds(40));
    }
    GIVEN("keys that don't fit")
    {
        THEN("a missing, an unknown and another team's key are told apart, and nothing runs")
        {
            auto request = post_order(e, "{\"order\":2}");
            request.headers.clear();
            CHECK(error_of(*fetch(request)).at("name") == "key_missing");
            request.headers = {{"Authorization", "Bearer nobody"}};
            CHECK(error_of(*fetch(request)).at("name") == "key_unknown");
            request.headers = {{"Authorization", "Bearer kumrovec-key"}};
            CHECK(error_of(*fetch(request)).at("name") == "key_not_allowed");
            CHECK(order_executions(d.processes, "{\"order\":2}") == 0);
        }
    }
}

SCENARIO("a stream survives the loss of what produces it")
{
    small_deployment d({"--token_us=10000"});
    constexpr int tokens = 100;
    auto const request = completion(d.entry(), "zlatar-key", "smyth sewn", tokens, true);
    auto const undisturbed = read_all(request, 0, [] {});
    REQUIRE(undisturbed.done);

    // Guards against repeated, lost or reordered tokens when an attempt is resumed elsewhere.
    auto const check_same = [&](std::function<void(agent_host&)> const& fault)
    {
        auto const disturbed = read_all(request, 20, [&] { fault(busy_agent(d.processes)); });
        CHECK(disturbed.error == "");
        CHECK(disturbed.done);
        CHECK(disturbed.text == undisturbed.text);
    };
    WHEN("the engine is killed")
    {
        check_same([](agent_host& a) { send_signal(*a.upstreams[0]->program, SIGKILL); });
    }
    WHEN("the engine of a whole answer is killed")
    {
        auto answer = std::async(
            std::launch::async, [&]
            { return fetch(completion(d.entry(), "zlatar-key", "smyth sewn", tokens, false)); });
        auto& busy = busy_agent(d.processes);
        // Some tokens have reached the entry, so that the rest is generated elsewhere.
        REQUIRE(eventually(
            [&]
            {
                auto const requests = state_of(d.entry().admin_port).at("requests");
                return !requests.empty() && requests.at(0).at("passed_tokens") > 0;
            }));
        // Guards against an agent that does not say when an attempt is sent to its upstream.
        CHECK(state_of(d.entry().admin_port).at("requests").at(0).at("phase") == "started");
        send_signal(*busy.upstreams[0]->program, SIGKILL);
        auto const got = answer.get();
        REQUIRE(got.has_value());
        CHECK(got->status == 200);
        CHECK(text_of(*got) == undisturbed.text);
    }
    WHEN("the agent is killed")
    {
        check_same([](agent_host& a) { send_signal(*a.program, SIGKILL); });
    }
    WHEN("the agent hangs")
    {
        check_same([](agent_host& a) { send_signal(*a.program, SIGSTOP); });
    }
    WHEN("the agent is asked to stop")
    {
        agent_host* stopped = nullptr;
        check_same(
            [&](agent_host& a)
            {
                stopped = &a;
                send_signal(*a.program, SIGTERM);
            });
        THEN("it finishes its work and exits with status 0")
        {
            CHECK(wait_exit(*stopped->program) == 0);
        }
    }
    WHEN("the entry is asked to stop")
    {
        auto& entry = *d.entry().program;
        auto const disturbed = read_all(request, 20, [&] { send_signal(entry, SIGTERM); });
        THEN("it finishes the stream and exits with status 0")
        {
            CHECK(disturbed.done);
            CHECK(disturbed.text == undisturbed.text);
            CHECK(wait_exit(entry) == 0);
        }
    }
}

SCENARIO("a non-idempotent request runs at most once")
{
    small_deployment d;
    auto const body = std::string("{\"order\":7}");
    // Guards against a second execution after a lost answer, and against calling it "not run".
    auto const check_unknown = [&](std::function<void(agent_host&)> const& fault)
    {
        for (auto const& a : d.processes.agents)
        {
            post_json(a->upstreams[1]->url() + "/standin/faults", {{"delay_us", 500'000}});
        }
        auto answer =
            std::async(std::launch::async, [&] { return fetch(post_order(d.entry(), body)); });
        REQUIRE(eventually([&] { return order_executions(d.processes, body) == 1; }));
        for (auto const& a : d.processes.agents)
        {
            if (!executions(*a->upstreams[1]).empty())
            {
                fault(*a);
            }
        }
        auto const got = answer.get();
        REQUIRE(got.has_value());
        CHECK(error_of(*got).at("name") == "outcome_unknown");
        CHECK(order_executions(d.processes, body) <= 1);
    };
    WHEN("the agent is killed while it runs")
    {
        check_unknown([](agent_host& a) { send_signal(*a.program, SIGKILL); });
    }
    WHEN("the agent hangs while it runs")
    {
        check_unknown([](agent_host& a) { send_signal(*a.program, SIGSTOP); });
    }
    WHEN("the service drops its answer after the effect")
    {
        for (auto const& a : d.processes.agents)
        {
            post_json(a->upstreams[1]->url() + "/standin/faults", {{"drop_answer", true}});
        }
        auto const got = fetch(post_order(d.entry(), body));
        REQUIRE(got.has_value());
        CHECK_FALSE(error_of(*got).at("not_run").get<bool>());
        CHECK(order_executions(d.processes, body) == 1);
    }
}
