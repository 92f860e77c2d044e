#include "process/support/endless_answers.hpp"

#include "process/support/eventually.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <stdexcept>

namespace gooseberrywood::test
{

namespace
{

using nlohmann::json;

/// Smallest memory of a machine that gateways run on.
constexpr std::size_t memory_mb = 112;
constexpr std::size_t megabyte = 1024 * 1024;

// The allocator of the sanitizer pads blocks, shadows them and keeps released ones for seconds.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t allocator_factor = 2;
#else
constexpr std::size_t allocator_factor = 1;
#endif

/// A gateway may hold a quarter of its memory in responses, and once more as much while they grow.
constexpr std::size_t max_growth_bytes = allocator_factor * memory_mb * megabyte / 2;

constexpr int desks = 6;

/// Whether a gateway reports that it holds nothing of any response.
bool holds_nothing(gateway_under_test const& gateway)
{
    auto const metrics = fetch({fmt::format("http://127.0.0.1:{}/metrics", gateway.admin_port)});
    return metrics && metrics->body.find("\ngateway_response_bytes 0\n") != std::string::npos;
}

} // namespace

std::vector<endless_answer> endless_answers()
{
    std::string const block(16'384, 'x');
    std::string const chunked = ok_line + id_headers + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"bytes that are not HTTP", "", block},
        {"a status line", "HTTP/1.1 200 ", block},
        {"interim heads", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim heads of another kind", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
        {"one header", ok_line + id_headers + "X-Long: ", block},
        {"headers", ok_line + id_headers, "X-More: 1\r\n"},
        {"a body with a length", ok_line + id_headers + "Content-Length: 99999999999\r\n\r\n",
         block},
        {"a body without a length", ok_line + id_headers + "\r\n", block},
        {"chunks of one byte", chunked, "1\r\nx\r\n"},
        {"one chunk", chunked + "fffffff\r\n", block},
        {"a chunk size", chunked, "0"},
        {"a chunk extension", chunked + "1;", "a=b;"},
        {"chunk extensions", chunked, "1;a=\"" + std::string(3000, 'e') + "\"\r\nx\r\n"},
        {"trailers", chunked + "0\r\n", "X-Trailer: 1\r\n"},
        {"an error", "HTTP/1.1 500 Internal Server Error\r\n" + id_headers + "\r\n", block},
        {"a refusal", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n", block},
        {"an answer from elsewhere", "HTTP/1.1 421 Misdirected Request\r\n\r\n", block},
        {"an answer without a body", "HTTP/1.1 204 No Content\r\n" + id_headers + "\r\n", block}};
}

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

void check_serves(site_service const& service, std::string const& id)
{
    auto const answer = look_up(service, id);
    CHECK(answer.status == 200);
    CHECK(answer.body == R"({"echo":"question"})");
}

small_machine::small_machine()
{
    // The sanitizer keeps released memory for so long that it would hide the limits. Read by
    // the programs that are started below.
    setenv("ASAN_OPTIONS", "quarantine_size_mb=4", 1);
    service = std::make_unique<site_service>(1, desks, fmt::format("memory_mb = {}", memory_mb));
    bytes_before = resident_bytes(*service->gateways[0].program);
}

void check_sound(small_machine const& machine, std::string const& id)
{
    check_serves(*machine.service, id);
    CHECK(eventually([&] { return holds_nothing(machine.service->gateways[0]); }));
    CHECK(most_resident_bytes(*machine.service->gateways[0].program) <
          machine.bytes_before + max_growth_bytes);
}

} // namespace gooseberrywood::test
