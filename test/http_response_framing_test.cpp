#include "chunked_bytes.hpp"
#include "http/fetch.hpp"
#include "http/message_framing.hpp"
#include "property.hpp"
#include "raw_server.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace
{

std::string const ok = "HTTP/1.1 200 OK\r\n";
std::string const interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n";
std::string const chunked_head = ok + "Transfer-Encoding: chunked\r\n\r\n";

/// What is left of bytes that were checked in pieces of a random size.
std::string check_in_pieces(http::message_framing& framing, std::string const& text)
{
    std::string kept;
    for (std::size_t at = 0; at < text.size() && framing.fault.reason == nullptr;)
    {
        auto piece = text.substr(at, *rc::gen::inRange<std::size_t>(1, 20));
        at += piece.size();
        kept.append(piece, 0, http::check_received(framing, piece));
    }
    return kept;
}

bool is_whole(http::message_framing const& framing)
{
    return framing.part == http::message_part::complete;
}

/// Reads a chunked body that was reduced to sizes and data.
std::string read_reduced(std::string_view text)
{
    auto const parsed = test::parse_chunked(text);
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->bytes == text.size());
    RC_ASSERT(text.ends_with("0\r\n\r\n"));
    return parsed->body;
}

} // namespace

TEST_CASE("chunks that keep to the grammar are whole with their last byte, and not before")
{
    // Guards against whole responses that are taken for broken ones, and cut ones for whole.
    test::check_property(
        "proper chunks",
        []
        {
            auto const chunked = *test::arbitrary_chunked();
            http::message_framing framing;
            http::expect_response(framing, false);
            auto const last = chunked.sent.size() - 1;
            auto kept = check_in_pieces(framing, chunked_head + chunked.sent.substr(0, last));
            RC_ASSERT(framing.fault.reason == nullptr);
            RC_ASSERT(!is_whole(framing));
            kept += check_in_pieces(framing, chunked.sent.substr(last));
            RC_ASSERT(is_whole(framing));
            RC_ASSERT(kept.starts_with(chunked_head));
            RC_ASSERT(read_reduced(std::string_view(kept).substr(chunked_head.size())) ==
                      chunked.body);
        });
}

namespace
{

/// Whether the check of chunks says what the grammar says, and the body is the same.
void compare_with_grammar(std::string const& sent)
{
    auto const parsed = test::parse_chunked(sent);
    bool const is_proper = parsed && parsed->bytes == sent.size();
    http::message_framing framing;
    http::expect_response(framing, false);
    auto const kept = check_in_pieces(framing, chunked_head + sent);
    http::check_end(framing);
    RC_ASSERT(is_whole(framing) == is_proper);
    RC_ASSERT((framing.fault.reason == nullptr) == is_proper);
    if (is_proper)
    {
        RC_ASSERT(read_reduced(std::string_view(kept).substr(chunked_head.size())) == parsed->body);
    }
}

} // namespace

TEST_CASE("chunks that break the grammar anywhere are never whole")
{
    // Guards against a garbled size, extension or line end that is read as a smaller body.
    test::check_property("damaged chunks",
                         []
                         {
                             auto const chunked = *test::arbitrary_chunked();
                             compare_with_grammar(*test::damaged(chunked.sent));
                         });
    test::check_property("random chunks",
                         [] { compare_with_grammar(*test::arbitrary_chunk_like()); });
}

TEST_CASE("random bytes are checked without a crash, and nothing follows a fault")
{
    // Guards against a process that ends, or goes on reading, after bytes that are no HTTP.
    test::check_property("random bytes",
                         [](std::string const& bytes, bool is_answer_to_head)
                         {
                             http::message_framing framing;
                             http::expect_response(framing, is_answer_to_head);
                             auto const prefix =
                                 *rc::gen::element(std::string(), std::string("HTTP/1.1 "), ok,
                                                   chunked_head, ok + "Content-Length: 3\r\n\r\n");
                             auto const kept = check_in_pieces(framing, prefix + bytes);
                             RC_ASSERT(kept.size() <= prefix.size() + bytes.size());
                             bool const is_broken = framing.fault.reason != nullptr;
                             http::expect_response(framing, false);
                             RC_ASSERT((framing.part == http::message_part::broken) == is_broken);
                         });
}

namespace
{

/// Server that answers the first request on a connection with given bytes, the second with "next".
struct damaging_server
{
    damaging_server()
        : server(
              [this](int connection, int)
              {
                  test::read_request_headers(connection);
                  test::send_text(connection, answer);
                  if (closes)
                  {
                      // Who takes the response for whole does so before the connection ends.
                      std::this_thread::sleep_for(5ms);
                      return;
                  }
                  // A client that keeps the connection without a request must not hold up the test.
                  timeval const patience{2, 0};
                  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
                  test::read_request_headers(connection);
                  test::send_text(connection, ok + "Content-Length: 4\r\n\r\nnext");
              })
    {
    }

    std::string answer;
    /// Whether the connection is closed after that answer.
    bool closes = false;
    test::raw_server server;
};

http::fetch_outcome fetch(SoupSession* session, std::uint16_t port)
{
    http::call_request request;
    request.url = fmt::format("http://127.0.0.1:{}/", port);
    request.may_repeat = true;
    std::optional<http::fetch_outcome> outcome;
    auto const pending =
        http::start_fetch(session, request, base::mono_now() + 5s, 1024 * 1024,
                          [&](http::fetch_outcome result) { outcome = std::move(result); });
    while (!outcome)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return std::move(*outcome);
}

} // namespace

TEST_CASE("a damaged chunked response reaches nobody as whole, nor as the next response")
{
    // Guards against a success with a part of the body, and against an answer to another request.
    test::check_property("damaged responses",
                         []
                         {
                             damaging_server server;
                             auto const chunked = *test::arbitrary_chunked();
                             auto const sent = *rc::gen::arbitrary<bool>()
                                                   ? *test::damaged(chunked.sent)
                                                   : chunked.sent;
                             auto const parsed = test::parse_chunked(sent);
                             bool const is_proper = parsed && parsed->bytes == sent.size();
                             server.answer = chunked_head + sent;
                             // Some damage leaves a response that waits for more bytes.
                             server.closes = !is_proper;
                             auto const session = http::make_session();
                             auto const first = fetch(session.get(), server.server.port);
                             RC_ASSERT(first.has_value() == is_proper);
                             if (first)
                             {
                                 RC_ASSERT(first->body == parsed->body);
                                 auto const next = fetch(session.get(), server.server.port);
                                 RC_ASSERT(next.has_value());
                                 RC_ASSERT(next->body == "next");
                             }
                         });
}

TEST_CASE("bytes after the end of a response are never the answer to the next request")
{
    // Guards against an answer that belongs to another request.
    std::string const other = ok + "Content-Length: 5\r\n\r\nother";
    std::vector<std::string> const responses = {
        ok + "Content-Length: 2\r\n\r\nok", ok + "Content-Length: 0\r\n\r\n",
        chunked_head + "2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"};
    std::vector<std::string> const additions = {other, "x", "\r\n", "\r\n" + other};
    for (auto const& first : responses)
    {
        for (auto const& extra : additions)
        {
            CAPTURE(first);
            CAPTURE(extra);
            damaging_server server;
            server.answer = first + extra;
            auto const session = http::make_session();
            auto const response = fetch(session.get(), server.server.port);
            // Another response is no part of the body; anything else may be.
            CHECK(response.has_value() == (extra == other));
            auto const expected = first.find("ok") != std::string::npos ? "ok" : "";
            CHECK((!response || response->body == expected));
            server.answer = ok + "Content-Length: 4\r\n\r\ntrue";
            server.closes = true;
            auto const next = fetch(session.get(), server.server.port);
            REQUIRE(next.has_value());
            CHECK(next->body == "true");
            CHECK(server.server.connections == 2);
        }
    }
}

TEST_CASE("a proper response is served, whatever frames it")
{
    // Guards against a check that refuses what upstreams may send.
    std::vector<std::string> const heads = {ok + "Content-Length: 5\r\n\r\n",
                                            "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n",
                                            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
                                            ok + "\r\n",
                                            ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
                                            ok + "X: a\r\n b\r\nContent-Length:\r\n 5\r\n\r\n",
                                            interim + ok + "Content-Length: 5\r\n\r\n"};
    for (auto const& head : heads)
    {
        CAPTURE(head);
        damaging_server server;
        server.answer = head + "hello";
        server.closes = true;
        auto const session = http::make_session();
        auto const response = fetch(session.get(), server.server.port);
        REQUIRE(response.has_value());
        CHECK(response->body == "hello");
    }
}

TEST_CASE("a head whose length readers take differently brings no response")
{
    // Guards against a body that libsoup cuts otherwise than the upstream meant it.
    std::vector<std::string> const framing_headers = {
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Content-Length : 5\r\n",
        "Transfer-Encoding\r\n",
        "Transfer-Enc\0oding: chunked\r\n"s,
        "Transfer-Encoding: chun\rked\r\n",
        "Transfer-Encoding:\r\n",
        "Transfer-Encoding: x\r\n chunked\r\n"};
    for (auto const& lengths : framing_headers)
    {
        CAPTURE(lengths);
        damaging_server server;
        server.answer = ok + lengths + "\r\n5\r\nhello\r\n0\r\n\r\n";
        server.closes = true;
        auto const session = http::make_session();
        CHECK_FALSE(fetch(session.get(), server.server.port).has_value());
    }
    damaging_server server;
    server.answer = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    auto const session = http::make_session();
    CHECK_FALSE(fetch(session.get(), server.server.port).has_value());
}
