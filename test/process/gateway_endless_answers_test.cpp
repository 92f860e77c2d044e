#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;

namespace
{

using nlohmann::json;

constexpr int events = 8;

std::string const ok = "HTTP/1.1 200 OK\r\n";
std::string const ids = "Attempt-Id: {id}\r\nServer-Stamp: stamp-{id}\r\n";
std::string const stream_headers =
    ids + "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n";

/// An answer that repeats a text until the gateway closes the connection.
struct endless_answer
{
    std::string name;
    std::string begin;
    std::string repeated;
};

/// Answers the next requests of a service so.
void answer_without_end(site_service const& service, std::string const& name,
                        endless_answer const& answer, int count)
{
    json const one = {{"bytes", answer.begin}, {"repeated", answer.repeated}};
    set_site(
        service, "raw",
        {{"service", name}, {"answers", std::vector<json>(static_cast<std::size_t>(count), one)}});
}

/// Answers the next request of a service with these bytes.
void answer_raw(site_service const& service, std::string const& name, std::string const& bytes)
{
    set_site(service, "raw",
             {{"service", name}, {"answers", {{{"bytes", bytes}, {"stays_open", true}}}}});
}

http_response look_up(site_service const& service, std::string const& id)
{
    return call_gateway(service.gateways[0], "POST", "/q/1", "desk.example", id, "question");
}

/// \returns the status of the answer; 0 if there is none.
unsigned try_look_up(site_service const& service, std::string const& id)
{
    try
    {
        return look_up(service, id).status;
    }
    catch (std::runtime_error const&)
    {
        return 0;
    }
}

/// Waits until upstreams that failed are used again.
void wait_recovered(site_service const& service, std::string const& id)
{
    int number = 0;
    CHECK(eventually(
        [&] { return try_look_up(service, fmt::format("{}-again-{}", id, ++number)) == 200; }));
}

/// Fails unless the first gateway lives and serves an ordinary request.
void check_serves(site_service const& service, std::string const& id)
{
    auto const answer = look_up(service, id);
    CHECK(answer.status == 200);
    CHECK(answer.body == R"({"echo":"question"})");
}

/// Answers to a sample that are no proper stream of events.
std::vector<endless_answer> endless_streams()
{
    std::string const block(16'384, 'x');
    auto const head = ok + stream_headers;
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

namespace
{

/// Smallest memory of a machine that gateways run on.
constexpr std::size_t memory_mb = 112;
constexpr std::size_t megabyte = 1024 * 1024;

/// A gateway may hold a quarter of its memory in responses, and once more as much while they grow.
constexpr std::size_t max_growth_bytes = memory_mb * megabyte / 2;

constexpr int desks = 6;

/// Stand-ins and a gateway on a machine with little memory.
struct small_machine
{
    small_machine()
    {
        // The sanitizer keeps released memory for so long that it would hide the limits. Read by
        // the programs that are started below.
        setenv("ASAN_OPTIONS", "quarantine_size_mb=4", 1);
        service =
            std::make_unique<site_service>(1, desks, fmt::format("memory_mb = {}", memory_mb));
        bytes_before = resident_bytes(*service->gateways[0].program);
    }

    std::unique_ptr<site_service> service;
    std::size_t bytes_before = 0;
};

/// Fails unless the gateway has stayed within its memory and serves an ordinary request.
void check_sound(small_machine const& machine, std::string const& id)
{
    check_serves(*machine.service, id);
    CHECK(most_resident_bytes(*machine.service->gateways[0].program) <
          machine.bytes_before + max_growth_bytes);
}

/// Answers without end, whatever was asked.
std::vector<endless_answer> endless_answers()
{
    std::string const block(16'384, 'x');
    std::string const chunked = ok + ids + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"bytes that are not HTTP", "", block},
            {"a status line", "HTTP/1.1 200 ", block},
            {"interim heads", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"interim heads of another kind", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
            {"one header", ok + ids + "X-Long: ", block},
            {"headers", ok + ids, "X-More: 1\r\n"},
            {"a body with a length", ok + ids + "Content-Length: 99999999999\r\n\r\n", block},
            {"a body without a length", ok + ids + "\r\n", block},
            {"chunks of one byte", chunked, "1\r\nx\r\n"},
            {"one chunk", chunked + "fffffff\r\n", block},
            {"a chunk size", chunked, "0"},
            {"a chunk extension", chunked + "1;", "a=b;"},
            {"chunk extensions", chunked, "1;a=\"" + std::string(3000, 'e') + "\"\r\nx\r\n"},
            {"trailers", chunked + "0\r\n", "X-Trailer: 1\r\n"},
            {"an error", "HTTP/1.1 500 Internal Server Error\r\n" + ids + "\r\n", block},
            {"a refusal", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n", block},
            {"an answer from elsewhere", "HTTP/1.1 421 Misdirected Request\r\n\r\n", block},
            {"an answer without a body", "HTTP/1.1 204 No Content\r\n" + ids + "\r\n", block}};
}

/// Sends the same lookup from many callers at once.
void crowd(site_service const& service, std::string const& id, int callers)
{
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i)
    {
        // The answer may be any, or none in time.
        threads.emplace_back([&, i] { (void)try_look_up(service, fmt::format("{}-{}", id, i)); });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
}

} // namespace

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

SCENARIO("many lookups at once are answered without end")
{
    // Guards against answers that are bounded one by one, and together exceed the memory.
    small_machine const machine;
    int number = 0;
    for (auto const& answer : endless_answers())
    {
        CAPTURE(answer.name);
        auto const id = fmt::format("c{}", ++number);
        constexpr int callers = 40;
        answer_without_end(*machine.service, "desk", answer, 2 * callers);
        crowd(*machine.service, id, callers);
        answer_without_end(*machine.service, "desk", answer, 0);
        wait_recovered(*machine.service, id);
        check_sound(machine, id + "-ordinary");
    }
}

SCENARIO("proper events go on without end")
{
    // Guards against texts that grow without end, each alone and all together.
    small_machine const machine;
    auto const& service = *machine.service;
    auto const head = ok + stream_headers + "\r\n";
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

SCENARIO("an answer is large, and what HTTP allows in it is long")
{
    // Guards against limits that refuse what is proper.
    small_machine const machine;
    auto const& service = *machine.service;
    std::string const body(12 * megabyte, 'y');
    std::string const extension(3000, 'e');
    std::vector<std::string> const answers = {
        ok + ids + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body,
        ok + ids + "Transfer-Encoding: chunked\r\n\r\n" + fmt::format("{:x}", body.size()) +
            ";e=" + extension + "\r\n" + body + "\r\n0\r\nX-Trailer: " + std::string(30'000, 't') +
            "\r\n\r\n"};
    int number = 0;
    for (auto const& answer : answers)
    {
        answer_raw(service, "desk", answer);
        auto const answered = look_up(service, fmt::format("large-{}", ++number));
        CHECK(answered.status == 200);
        CHECK(answered.body == body);
    }
    check_serves(service, "after");
}
