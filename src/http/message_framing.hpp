#ifndef GOOSEBERRYWOOD_HTTP_MESSAGE_FRAMING_HPP
#define GOOSEBERRYWOOD_HTTP_MESSAGE_FRAMING_HPP

#include "base/byte_budget.hpp"
#include "http/chunk_reader.hpp"
#include "http/message_head.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief What is received on a connection.
enum class message_kind : std::uint8_t
{
    /// One after the other, each to a request that was sent before.
    responses,
    /// One after the other, at any time.
    requests,
};

/// \ingroup http
/// \brief What tells the end of the body of a message.
enum class body_end : std::uint8_t
{
    /// There is no body, whatever the headers say.
    no_body,
    length,
    chunks,
    connection,
};

/// \ingroup http
/// \brief Part of a connection's input that comes next.
enum class message_part : std::uint8_t
{
    /// No request waits for a response.
    none,
    head,
    body,
    /// The message was read to its end.
    complete,
    broken,
};

/// \ingroup http
/// \brief Framing of the messages received on one connection (RFC 9112, sections 2 to 7), as the
/// bytes tell it.
struct message_framing
{
    message_kind kind = message_kind::responses;
    message_part part = message_part::none;
    framing_fault fault;
    message_head head;
    body_end end = body_end::no_body;
    chunk_reader chunks;
    /// Length of the body, and how much of it is still due. Used with `body_end::length`.
    std::uint64_t content_length = 0;
    std::uint64_t remaining = 0;

    /// Of a response; 0 before its status line was read.
    std::uint16_t status = 0;
    bool is_answer_to_head = false;
    /// Counts the bytes of the response; expired when nothing of it is held any more.
    std::weak_ptr<base::byte_share> share;
    /// Limit of the heads before one body, in bytes.
    std::size_t max_head_bytes = http::max_head_bytes;
    /// What is received is read, and neither checked nor passed on.
    bool discards = false;
    /// Another response followed the complete one. The connection must not be used again.
    bool has_surplus = false;
};

/// \ingroup http
/// \brief Prepares for the requests of a new connection.
void expect_requests(message_framing& framing);

/// \ingroup http
/// \brief Prepares for the response to a request that is about to be sent.
/// \param share counts the bytes of the response. Reading fails where it can't grow.
void expect_response(message_framing& framing, bool is_answer_to_head,
                     std::weak_ptr<base::byte_share> share = {});

/// \ingroup http
/// \brief Why a response is not read on when its share can't grow.
/// \param outcome any but `granted`.
[[nodiscard]] char const* describe(base::growth outcome);

/// \ingroup http
/// \brief Checks received bytes. What differs among readers of chunks is removed from them in
/// place. \returns the number of bytes kept at the begin of the span. Not to be used when `fault`
/// is set.
[[nodiscard]] std::size_t check_received(message_framing& framing, std::span<char> bytes);

/// \ingroup http
/// \brief Checks whether the connection may end here.
void check_end(message_framing& framing);

} // namespace gooseberrywood::http

#endif
