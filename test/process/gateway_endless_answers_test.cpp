#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
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

http_response look_up(site_service const& service, std::string const& id)
{
    return call_gateway(service.gateways[0], "POST", "/q/1", "desk.example", id, "question");
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
