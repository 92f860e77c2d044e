#include "process/support/endless_answers.hpp"
#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/kept_connection.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace gooseberrywood::test;

namespace
{

using nlohmann::json;

constexpr std::size_t megabyte = 1024 * 1024;

/// Answers the next request of a service with these bytes.
void answer_raw(site_service const& service, std::string const& name, std::string const& bytes)
{
    set_site(service, "raw",
             {{"service", name}, {"answers", {{{"bytes", bytes}, {"stays_open", true}}}}});
}

/// Waits until upstreams that failed are used again.
void wait_recovered(site_service const& service, std::string const& id)
{
    int number = 0;
    CHECK(eventually(
        [&] { return try_look_up(service, fmt::format("{}-again-{}", id, ++number)) == 200; }));
}

/// Sends the same lookup from many callers at once.
void crowd(site_service const& service, std::string const& id, int callers)
{
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(callers));
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

SCENARIO("an answer is large, and what HTTP allows in it is long")
{
    // Guards against limits that refuse what is proper.
    small_machine const machine;
    auto const& service = *machine.service;
    std::string const body(12 * megabyte, 'y');
    std::string const extension(3000, 'e');
    std::vector<std::string> const answers = {
        ok_line + id_headers + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body,
        ok_line + id_headers + "Transfer-Encoding: chunked\r\n\r\n" +
            fmt::format("{:x}", body.size()) + ";e=" + extension + "\r\n" + body +
            "\r\n0\r\nX-Trailer: " + std::string(30'000, 't') + "\r\n\r\n"};
    int number = 0;
    for (auto const& answer : answers)
    {
        answer_raw(service, "desk", answer);
        auto const answered = look_up(service, fmt::format("large-{}", ++number));
        CHECK(answered.status == 200);
        CHECK(answered.body == body);
    }
    // The caller's connection stays open, but its answer was delivered.
    kept_connection connection(service.gateways[0].http_port);
    CHECK(connection
              .exchange("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: kept\r\n"
                        "Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n"
                        "Content-Length: 0\r\n\r\n")
              .status == 200);
    check_sound(machine, "after");
}
