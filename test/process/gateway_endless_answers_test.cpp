#include "process/support/endless_answers.hpp"
#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;

namespace
{

constexpr int events = 8;

/// Answers to a sample that are no proper stream of events.
std::vector<endless_answer> endless_streams()
{
    std::string const block(16'384, 'x');
    auto const head = ok_line + stream_headers;
    return {
        {"bytes that are no event", head + "\r\n", block},
        {"one event", head + "\r\nid: 1\ndata: ", block},
        {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
        {"a body with a length", head + "Content-Length: 99999999999\r\n\r\n", block},
        {"lines that are no event", head + "\r\n", "x\n\n"},
        {"events that repeat an id", head + "\r\nid: 1\ndata: {id}-1\n\n", "id: 1\ndata: x\n\n"}};
}

} // namespace

SCENARIO("an upstream answers samples without end")
{
    // Guards against a run that is ended while its answer is read and is read on nevertheless,
    // which ended the process.
    site_service const service(1);
    std::vector<int> const samples(6, events);
    int number = 0;
    for (auto const& answer : endless_streams())
    {
        CAPTURE(answer.name);
        answer_without_end(service, "engines", answer, 3);
        auto const job = fmt::format("job-{}", ++number);
        REQUIRE(submit(service.gateways[0], job, samples) == 202);
        check_whole(wait_results(service.gateways[0], job, samples.size()), job, samples);
        check_serves(service, job + "-lookup");
    }
}

SCENARIO("an upstream answers a lookup, a stream or a reward call without end")
{
    // Guards against a process that keeps all that a faulty upstream sends, in whatever part of an
    // answer, and runs out of memory.
    small_machine const machine;
    auto const& service = *machine.service;
    int number = 0;
    for (auto const& answer : endless_answers())
    {
        CAPTURE(answer.name);
        auto const id = fmt::format("r{}", ++number);
        answer_without_end(service, "desk", answer, 1);
        auto const looked_up = try_look_up(service, id);
        CHECK((looked_up == 200 || looked_up == 204 || looked_up >= 500));
        answer_without_end(service, "engines", answer, 1);
        auto const streamed = call_gateway(service.gateways[0], "POST", "/s/1", "chat.example",
                                           id + "-stream", std::to_string(events));
        CHECK((streamed.status >= 500 || answer.name == "an answer without a body"));
        answer_without_end(service, "desk", answer, 1);
        answer_without_end(service, "engines", answer, 1);
        REQUIRE(submit(service.gateways[0], id, {events, events}) == 202);
        auto const results = wait_results(service.gateways[0], id, 2);
        CHECK(results.size() == 2);
        check_sound(machine, id + "-ordinary");
    }
}

SCENARIO("proper events go on without end")
{
    // Guards against texts that grow without end, each alone and all together.
    small_machine const machine;
    auto const& service = *machine.service;
    auto const head = ok_line + stream_headers + "\r\n";
    std::vector<endless_answer> const answers = {
        {"short events", head, "id: {n}\ndata: x\n\n"},
        {"long events", head, "id: {n}\ndata: " + std::string(100'000, 'x') + "\n\n"},
        {"events without text", head, "id: {n}\ndata:\n\n"},
        {"comments", head, ": x\n\n"},
        {"events without data", head, "retry: 1\n\n"}};
    std::vector<int> const samples(16, events);
    int number = 0;
    for (auto const& answer : answers)
    {
        CAPTURE(answer.name);
        auto const job = fmt::format("e{}", ++number);
        answer_without_end(service, "engines", answer, 24);
        REQUIRE(submit(service.gateways[0], job, samples) == 202);
        check_whole(wait_results(service.gateways[0], job, samples.size()), job, samples);
        check_sound(machine, job + "-ordinary");
    }
}
