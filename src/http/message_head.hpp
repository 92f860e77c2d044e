#ifndef GOOSEBERRYWOOD_HTTP_MESSAGE_HEAD_HPP
#define GOOSEBERRYWOOD_HTTP_MESSAGE_HEAD_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Maximum size of the heads before one body, those of interim responses included. It is
/// below the limit of libsoup (64 KiB), which reports a longer head as a connection that was cut
/// off.
inline constexpr std::size_t max_head_bytes = 60 * 1024;

/// \ingroup http
/// \brief What made the input of a connection unusable.
enum class fault_kind : std::uint8_t
{
    /// The peer sent what is not HTTP/1.1.
    malformed,
    /// The peer closed the connection too early.
    cut,
    /// The peer sent more than may be held.
    too_large,
};

/// \ingroup http
/// \brief Why the input of a connection can't be used any more.
struct framing_fault
{
    /// Null without a fault.
    char const* reason = nullptr;
    fault_kind kind = fault_kind::malformed;
};

/// \ingroup http
/// \brief The head of a message (RFC 9112, sections 2 to 6) as far as it was received.
struct message_head
{
    std::string start_line;
    /// Values of the headers that tell the length, joined by commas as a list.
    std::optional<std::string> content_lengths;
    std::optional<std::string> transfer_codings;
    /// Whether its last line was read.
    bool is_complete = false;
    /// Bytes read, those of earlier heads before the same body included.
    std::size_t bytes = 0;
    /// Lines read of this head.
    std::size_t lines = 0;
    /// Begin of a line whose end was not received.
    std::string partial_line;
    /// The value that a folded line continues, if it is one of those above.
    std::optional<std::string>* folded = nullptr;

    message_head() = default;
    message_head(message_head const&) = delete;
    message_head& operator=(message_head const&) = delete;
    ~message_head() = default;
};

/// \ingroup http
/// \brief Prepares for the next head.
/// \param bytes_before size of earlier heads before the same body.
void begin_head(message_head& head, std::size_t bytes_before);

/// \ingroup http
/// \brief Reads the bytes up to the next end of a line.
/// \param max_bytes maximum of the head, and of those before the same body.
/// \param fault set if they are no part of a head.
/// \returns the number of bytes read.
[[nodiscard]] std::size_t read_head_line(message_head& head, std::span<char const> bytes,
                                         std::size_t max_bytes, framing_fault& fault);

/// \ingroup http
/// \brief How the headers of a complete head frame the body.
struct body_framing
{
    bool is_chunked = false;
    /// Absent without `Content-Length`.
    std::optional<std::uint64_t> length;
};

/// \ingroup http
/// \brief Reads the headers that frame the body.
/// \param is_http_1_0 whether the message has the version 1.0, which knows no transfer codings.
/// \param fault set if they are unreadable, contradictory or not supported.
[[nodiscard]] body_framing read_body_framing(message_head const& head, bool is_http_1_0,
                                             framing_fault& fault);

} // namespace gooseberrywood::http

#endif
