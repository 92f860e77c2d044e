#include "base/hash.hpp"
#include "process/support/deployment.hpp"
#include "process/support/eventually.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace gooseberrywood;
using namespace gooseberrywood::test;

namespace
{

std::string make_bundle()
{
    return fmt::format(R"(
version = 1
deployment = "test"
domains = ["krapina", "zabok"]
[[teams]]
name = "zlatar"
key_hashes = ["{}"]
[[routes]]
name = "planner-lm"
kind = "model"
fresh_limit = 8
max_limit = 8
warm_up_s = 0
timeout_s = 5
)",
                       base::sha256_hex("zlatar-key"));
}

std::vector<std::unique_ptr<upstream_standin>> one_engine(std::string const& number)
{
    std::vector<std::unique_ptr<upstream_standin>> out;
    out.push_back(make_upstream("planner-lm-" + number, "planner-lm", {"--token_us=10000"}));
    return out;
}

bool is_busy(agent_host const& at)
{
    return get_json(at.upstreams[0]->url() + "/standin/stats").at("running") > 0;
}

void set_error(agent_host const& at, int status)
{
    post_json(at.upstreams[0]->url() + "/standin/faults", {{"error_status", status}});
}

int tokens_generated(agent_host const& at)
{
    return get_json(at.upstreams[0]->url() + "/standin/stats").at("tokens_generated").get<int>();
}

} // namespace

SCENARIO("a stream breaks off, and the next upstream answers with an error")
{
    // Guards against the text of an upstream's error within a stream that then looks complete.
    deployment d(make_bundle());
    add_agent(d, "h1", "krapina", one_engine("1"));
    add_agent(d, "h2", "zabok", one_engine("2"));
    auto const& entry = add_entry(d, "e1", "krapina");
    constexpr int tokens = 100;
    constexpr int tokens_before = 10;
    for (int const status : {400, 500})
    {
        CAPTURE(status);
        auto answer =
            std::async(std::launch::async,
                       [&] { return fetch(completion(entry, "zlatar-key", "a b", tokens, true)); });
        REQUIRE(eventually([&] { return is_busy(*d.agents[0]) || is_busy(*d.agents[1]); }));
        auto const& busy = is_busy(*d.agents[0]) ? *d.agents[0] : *d.agents[1];
        auto const& idle = &busy == d.agents[0].get() ? *d.agents[1] : *d.agents[0];
        REQUIRE(eventually([&] { return tokens_generated(busy) > tokens_before; }));
        set_error(idle, status);
        send_signal(*busy.upstreams[0]->program, SIGKILL);
        auto const streamed = answer.get();
        REQUIRE(streamed.has_value());
        CHECK(streamed->body.find("\"token_index\":9") != std::string::npos);
        CHECK(streamed->body.find("error_status is set") == std::string::npos);
        CHECK(streamed->body.find("[DONE]") == std::string::npos);
        // Its last event tells that the stream is incomplete.
        CHECK(streamed->body.find("event: error\n") != std::string::npos);
        set_error(idle, 0);
        (void)wait_exit(*busy.upstreams[0]->program);
        restart(*busy.upstreams[0]);
    }
}
