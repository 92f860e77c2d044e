#include "process/support/kept_connection.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>

using namespace gooseberrywood::test;

namespace
{

/// Sends a lookup in chunks and returns the answer.
/// \param size what stands where the size of the second chunk is due.
kept_answer look_up_in_chunks(site_service const& service, std::string const& id,
                              std::string const& size)
{
    kept_connection connection(service.gateways[0].http_port);
    return connection.exchange(
        fmt::format("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
                    "Deadline-Ms: 2000\r\nAuthorization: Bearer key-1\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n{}world\r\n0\r\n\r\n",
                    id, size));
}

} // namespace

SCENARIO("the size of a chunk of a request is garbled")
{
    // Guards against a part of a body that runs as if it were the whole.
    site_service const service(1);
    int number = 0;
    for (std::string const size : {"x\r\n", "-1\r\n", "\r\n", "", "0x5\r\n", "5 \r\n", "5;\r\n",
                                   "5\n", "6\r\n", "4\r\n", "fffffffffffffffff\r\n"})
    {
        CAPTURE(size);
        auto const id = fmt::format("garbled-{}", number++);
        CHECK(look_up_in_chunks(service, id, size).status == 400);
        CHECK_FALSE(site_state(service).at("runs").contains(id));
    }
    for (std::string const size : {"5\r\n", "005;a=\"b\" ; c\r\n"})
    {
        CAPTURE(size);
        auto const answer = look_up_in_chunks(service, fmt::format("proper-{}", number++), size);
        CHECK(answer.status == 200);
        CHECK(answer.body == R"({"echo":"hello world"})");
    }
}
