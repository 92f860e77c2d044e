#include "process/support/http_client.hpp"
#include "process/support/process.hpp"

#include <doctest/doctest.h>

#include <signal.h>

#include <thread>

using namespace gooseberrywood;

namespace
{

std::string address(std::uint16_t port)
{
    return "http://127.0.0.1:" + std::to_string(port);
}

std::string completion(int max_tokens, bool stream)
{
    return nlohmann::json{{"prompt", "one two"}, {"max_tokens", max_tokens}, {"stream", stream}}
        .dump();
}

} // namespace

// Guards against stand-ins whose faults do not happen, so that tests with them prove nothing.
SCENARIO("the stand-in of an engine")
{
    test::process engine("standin_upstream", {"--crash_word=boom", "--token_us=200"});
    auto const url = address(test::wait_listening(engine));
    auto const path = url + "/v1/completions";

    WHEN("a stream is resumed")
    {
        auto stream = test::open_stream({path, "POST", completion(5, true)});
        REQUIRE(stream.has_value());
        std::string text;
        for (int i = 0; i < 2; ++i)
        {
            auto const event = nlohmann::json::parse(**test::next_event(*stream));
            CHECK(event.at("token_index") == i);
            text += event.at("choices").at(0).at("text").get<std::string>();
        }
        auto request = nlohmann::json::parse(completion(5, false));
        request["resume"] = {{"tokens", 2}, {"text", text}};
        THEN("the answer equals an undisturbed one")
        {
            auto const whole = test::post_json(path, nlohmann::json::parse(completion(5, false)));
            CHECK(test::post_json(path, request).at("choices") == whole.at("choices"));
        }
    }
    WHEN("the caller leaves")
    {
        {
            auto stream = test::open_stream({path, "POST", completion(1000000, true)});
            REQUIRE(test::next_event(*stream).has_value());
        }
        THEN("the generation is canceled")
        {
            CHECK(test::eventually(
                [&url] {
                    return test::get_json(url + "/standin/executions").at(0).at("canceled") == true;
                }));
        }
    }
    WHEN("it drops an answer")
    {
        test::post_json(url + "/standin/faults", {{"drop_answer", true}});
        auto const answer = test::fetch({path, "POST", completion(2, false)});
        THEN("the caller sees a broken connection and the request has run")
        {
            CHECK_FALSE(answer.has_value());
            CHECK(test::get_json(url + "/standin/executions").at(0).at("finished") == true);
        }
    }
    WHEN("a request holds the crash word")
    {
        auto const answer = test::fetch({path, "POST", R"({"prompt":"a boom"})"});
        THEN("it aborts")
        {
            CHECK_FALSE(answer.has_value());
            CHECK(test::wait_exit(engine) == 128 + SIGABRT);
        }
    }
    WHEN("it is stopped and continued")
    {
        test::send_signal(engine, SIGSTOP);
        auto const silent = test::fetch({.url = url + "/standin/stats", .silence_s = 1});
        test::send_signal(engine, SIGCONT);
        THEN("it answers only afterwards")
        {
            CHECK_FALSE(silent.has_value());
            CHECK(test::get_json(url + "/standin/stats").at("running") == 0);
        }
    }
}

// Guards against an overload that a test can't see.
SCENARIO("the stand-in of a service that bears one request")
{
    test::process service("standin_upstream",
                          {"--kind=service", "--bears_fresh=1", "--bears_warm=1"});
    auto const url = address(test::wait_listening(service));
    GIVEN("a request that does not end")
    {
        test::post_json(url + "/standin/faults", {{"freeze", true}});
        std::jthread waiting(
            [&url] {
                std::ignore = test::fetch({url + "/orders", "POST", "one"});
            });
        auto const running = [&url]
        {
            return test::get_json(url + "/standin/stats").at("running");
        };
        auto const started = test::eventually([&] { return running() == 1; });
        auto const refused = test::fetch({url + "/orders", "POST", "two"});
        test::post_json(url + "/standin/faults", {{"freeze", false}});
        waiting.join();
        THEN("the next one is refused, counted and not executed")
        {
            CHECK(started);
            CHECK(refused->status == 503);
            CHECK(test::get_json(url + "/standin/stats").at("overload") == 1);
            CHECK(test::get_json(url + "/standin/executions").size() == 1);
        }
    }
}
