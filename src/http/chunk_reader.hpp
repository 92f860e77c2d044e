#ifndef GOOSEBERRYWOOD_HTTP_CHUNK_READER_HPP
#define GOOSEBERRYWOOD_HTTP_CHUNK_READER_HPP

#include <cstddef>
#include <cstdint>
#include <span>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Maximum length of the line of a chunk's size with its extensions.
inline constexpr std::size_t max_chunk_line_bytes = 4 * 1024;

/// \ingroup http
/// \brief Maximum size of the trailer section of a chunked body.
inline constexpr std::size_t max_trailer_bytes = 64 * 1024;

/// \ingroup http
/// \brief What a `chunk_reader` expects next.
enum class chunk_state : std::uint8_t
{
    size_begin,
    size,
    space_before_extension,
    extension_name_begin,
    extension_name,
    space_after_name,
    extension_value_begin,
    extension_value,
    quoted_value,
    quoted_pair,
    quoted_value_end,
    space_after_value,
    size_line_feed,
    data,
    data_carriage_return,
    data_line_feed,
    trailer_begin,
    trailer_name,
    trailer_value,
    trailer_line_feed,
    last_line_feed,
    complete,
    malformed,
};

/// \ingroup http
/// \brief Position within a chunked body (RFC 9112, section 7.1).
struct chunk_reader
{
    chunk_state state = chunk_state::size_begin;
    /// Size that was read so far, then the bytes of the chunk that are still due.
    std::uint64_t remaining = 0;
    /// Bytes of the current size line, or of the trailer section.
    std::size_t line_bytes = 0;
    /// A digit of the current size was kept.
    bool has_digit = false;
};

/// \ingroup http
/// \brief Outcome of `read_chunks`.
struct read_bytes
{
    /// Bytes that belong to the body. Less than given only when the body is complete or malformed.
    std::size_t taken = 0;
    /// Bytes kept at the begin of the span.
    std::size_t kept = 0;
};

/// \ingroup http
/// \brief Checks the next bytes of a chunked body and reduces them in place to what every reader
/// understands alike: extensions, trailers and redundant zeros are removed.
/// \sa chunk_state::complete, chunk_state::malformed
[[nodiscard]] read_bytes read_chunks(chunk_reader& reader, std::span<char> bytes);

} // namespace gooseberrywood::http

#endif
