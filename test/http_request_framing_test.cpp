#include "chunked_bytes.hpp"
#include "http/server.hpp"
#include "property.hpp"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace gooseberrywood;

namespace
{

/// A server that answers each request with 200 and keeps its body.
struct keeping_server
{
    keeping_server()
    {
        auto made = http::serve("127.0.0.1:0",
                                [this](std::shared_ptr<http::exchange> const& request)
                                {
                                    bodies.emplace_back(request->body);
                                    http::respond(*request, 200, "text/plain", "");
                                });
        REQUIRE(made.has_value());
        server = std::move(*made);
    }

    std::vector<std::string> bodies;
    std::unique_ptr<http::server> server;
};

/// What a server answers until it closes the connection.
std::string answer_to(std::uint16_t port, std::string const& request)
{
    int const connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    RC_ASSERT(connect(connection, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    (void)send(connection, request.data(), request.size(), MSG_NOSIGNAL);
    shutdown(connection, SHUT_WR);
    std::string answer;
    std::array<char, 4096> bytes{};
    for (ssize_t count = -1; count != 0;)
    {
        g_main_context_iteration(nullptr, FALSE);
        count = recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN)
        {
            break;
        }
        answer.append(bytes.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    close(connection);
    return answer;
}

/// The last request on a connection announces its close, so that the answer ends with it.
std::string const closing_head =
    "POST /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a damaged chunked request is never handled, and a proper one is handled whole")
{
    // Guards against requests that run with a part of their body.
    test::check_property("damaged requests",
                         []
                         {
                             keeping_server keeping;
                             auto const chunked = *test::arbitrary_chunked();
                             auto const sent = *rc::gen::arbitrary<bool>()
                                                   ? *test::damaged(chunked.sent)
                                                   : chunked.sent;
                             auto const parsed = test::parse_chunked(sent);
                             auto const answer =
                                 answer_to(keeping.server->listening->port, closing_head + sent);
                             if (!parsed)
                             {
                                 RC_ASSERT(keeping.bodies.empty());
                                 RC_ASSERT(!answer.starts_with("HTTP/1.1 200"));
                             }
                             else if (parsed->bytes == sent.size())
                             {
                                 RC_ASSERT(keeping.bodies == std::vector{parsed->body});
                                 RC_ASSERT(answer.starts_with("HTTP/1.1 200"));
                             }
                         });
}

SCENARIO("requests follow each other on one connection")
{
    // Guards against a check that takes the next request for a part of the one before.
    keeping_server keeping;
    std::string const request = "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
    auto const answer =
        answer_to(keeping.server->listening->port,
                  request +
                      "POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n1;x\r\nc\r\n0\r\nT: u\r\nV: w\r\n\r\n" +
                      request + "GET /p HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(keeping.bodies == std::vector<std::string>{"ab", "c", "ab", ""});
}

SCENARIO("the framing of a request is ambiguous")
{
    // Guards against one request that upstreams and this service take for two.
    for (std::string const headers :
         {"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding : chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: +5\r\n",
          "Content-Length: x\r\n"})
    {
        CAPTURE(headers);
        keeping_server keeping;
        auto const answer =
            answer_to(keeping.server->listening->port,
                      "POST /p HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n5\r\nhello\r\n0\r\n\r\n");
        CHECK(keeping.bodies.empty());
        CHECK(answer.starts_with("HTTP/1.1 400"));
    }
}
