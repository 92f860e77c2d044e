#ifndef GOOSEBERRYWOOD_HTTP_RESPONSE_FRAMING_HPP
#define GOOSEBERRYWOOD_HTTP_RESPONSE_FRAMING_HPP

#include "http/chunk_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Maximum size of the heads of one response, those of interim responses included.
inline constexpr std::size_t max_head_bytes = 128 * 1024;

/// \ingroup http
/// \brief What tells the end of the body of a response.
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
enum class response_part : std::uint8_t
{
    /// No request waits for a response.
    none,
    head,
    body,
    /// The response was read to its end.
    complete,
    broken,
};

/// \ingroup http
/// \brief Why the input of a connection can't be used any more.
struct framing_fault
{
    char const* reason = nullptr;
    /// The peer closed the connection too early. Otherwise it sent what is not HTTP/1.1.
    bool is_cut = false;
};

/// \ingroup http
/// \brief Framing of the responses on one connection (RFC 9112, sections 4 to 7), as the bytes that
/// were received tell it.
struct response_framing
{
    response_part part = response_part::none;
    framing_fault fault;
    body_end end = body_end::no_body;
    chunk_reader chunks;
    /// Length of the body, and how much of it is still due. Used with `body_end::length`.
    std::uint64_t content_length = 0;
    std::uint64_t remaining = 0;

    bool is_answer_to_head = false;
    /// Bytes of heads since the request was sent.
    std::size_t head_bytes = 0;
    std::string line;
    std::uint16_t status = 0;
    bool is_http_1_0 = false;
    /// Values of the headers that tell the length, joined by commas as a list.
    std::optional<std::string> content_lengths;
    std::optional<std::string> transfer_codings;
    /// The header that a folded line continues, if it is one of these.
    std::optional<std::string>* folded = nullptr;

    response_framing() = default;
    response_framing(response_framing const&) = delete;
    response_framing& operator=(response_framing const&) = delete;
    ~response_framing() = default;
};

/// \ingroup http
/// \brief Prepares for the response to a request that is about to be sent.
void expect_response(response_framing& framing, bool is_answer_to_head);

/// \ingroup http
/// \brief Checks received bytes. What differs among readers of chunks is removed from them in
/// place. \returns the number of bytes kept at the begin of the span. Not to be used when `fault`
/// is set.
[[nodiscard]] std::size_t check_received(response_framing& framing, std::span<char> bytes);

/// \ingroup http
/// \brief Checks whether the connection may end here.
void check_end(response_framing& framing);

} // namespace gooseberrywood::http

#endif
