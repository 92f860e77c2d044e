#include "http/fetch.hpp"
#include "http/status.hpp"
#include "raw_server.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// Asks a server that answers with this status line, and then with a whole response.
http::fetch_outcome fetch_status(std::string const& status)
{
    std::atomic<bool> is_served = false;
    test::raw_server const server(
        [&](int connection, int)
        {
            test::read_request_headers(connection);
            test::send_text(connection, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
            is_served = true;
        });
    auto const session = http::make_session();
    http::call_request request;
    request.url = fmt::format("http://127.0.0.1:{}/", server.port);
    request.may_repeat = true;
    std::optional<http::fetch_outcome> outcome;
    auto const fetch =
        http::start_fetch(session.get(), request, base::mono_now() + 2s, 1024,
                          [&](http::fetch_outcome result) { outcome = std::move(result); });
    while (!outcome)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(*outcome);
}

} // namespace

SCENARIO("an upstream answers with each status of three digits")
{
    // Guards against an answer that is passed on with a status that HTTP does not have, such as
    // 000.
    for (int code = 0; code < 1000; ++code)
    {
        CAPTURE(code);
        auto const outcome = fetch_status(fmt::format("{:03} Status", code));
        bool const is_final = code >= 200 && code <= 599;
        CHECK(outcome.has_value() == is_final);
        if (outcome)
        {
            CHECK(outcome->status == code);
            CHECK(http::status::is_valid(outcome->status));
        }
        else if (code < 100 || code > 599)
        {
            CHECK(outcome.error().why.code == base::result_code::upstream_error);
        }
    }
}

SCENARIO("an upstream answers with something that is no status")
{
    // Guards against a status that is read from a part of what was sent.
    for (std::string const status : {"", " ", "2", "20", "2000", "0200", "-200", "+200", "0x1",
                                     "20a", "2 0", "200OK", " 200", "1e2", "\xb2\xb0\xb0", "200\t"})
    {
        CAPTURE(status);
        auto const outcome = fetch_status(status);
        REQUIRE_FALSE(outcome.has_value());
        CHECK(outcome.error().why.code == base::result_code::upstream_error);
    }
}
