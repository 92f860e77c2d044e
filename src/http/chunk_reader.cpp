#include "http/chunk_reader.hpp"

#include "http/field_grammar.hpp"

#include <algorithm>
#include <cstring>
#include <limits>

namespace gooseberrywood::http
{

namespace
{

constexpr std::uint64_t max_chunk_bytes = std::numeric_limits<std::int64_t>::max();

/// Whether a byte that was checked is kept.
enum class fate : bool
{
    removed,
    kept,
};

int digit_value(char byte)
{
    if (byte >= '0' && byte <= '9')
    {
        return byte - '0';
    }
    auto const lower = static_cast<char>(byte | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

fate go_to(chunk_reader& reader, chunk_state state, fate of_byte)
{
    reader.state = state;
    return of_byte;
}

fate reject(chunk_reader& reader)
{
    return go_to(reader, chunk_state::malformed, fate::removed);
}

/// A byte after the size, a name or a value of an extension.
fate read_delimiter(chunk_reader& reader, char byte, chunk_state at_space)
{
    switch (byte)
    {
    case ';':
        return go_to(reader, chunk_state::extension_name_begin, fate::removed);
    case '\r':
        return go_to(reader, chunk_state::size_line_feed, fate::kept);
    case ' ':
    case '\t':
        return go_to(reader, at_space, fate::removed);
    default:
        return reject(reader);
    }
}

fate read_size_digit(chunk_reader& reader, char byte)
{
    auto const digit = digit_value(byte);
    if (digit < 0)
    {
        return reader.state == chunk_state::size
                   ? read_delimiter(reader, byte, chunk_state::space_before_extension)
                   : reject(reader);
    }
    if (reader.remaining > (max_chunk_bytes - static_cast<std::uint64_t>(digit)) / 16)
    {
        return reject(reader);
    }
    bool const is_redundant = reader.remaining == 0 && digit == 0 && reader.has_digit;
    reader.remaining = reader.remaining * 16 + static_cast<std::uint64_t>(digit);
    reader.has_digit = true;
    return go_to(reader, chunk_state::size, is_redundant ? fate::removed : fate::kept);
}

/// White space within an extension, before `expected`, or before the next extension.
fate read_space(chunk_reader& reader, char byte, char expected, chunk_state at_expected)
{
    if (is_blank(byte))
    {
        return fate::removed;
    }
    if (byte == expected)
    {
        return go_to(reader, at_expected, fate::removed);
    }
    return byte == ';' ? go_to(reader, chunk_state::extension_name_begin, fate::removed)
                       : reject(reader);
}

fate read_extension_name(chunk_reader& reader, char byte)
{
    if (is_token_char(byte))
    {
        return go_to(reader, chunk_state::extension_name, fate::removed);
    }
    if (reader.state == chunk_state::extension_name_begin)
    {
        return is_blank(byte) ? fate::removed : reject(reader);
    }
    return byte == '=' ? go_to(reader, chunk_state::extension_value_begin, fate::removed)
                       : read_delimiter(reader, byte, chunk_state::space_after_name);
}

fate read_extension_value(chunk_reader& reader, char byte)
{
    if (is_token_char(byte))
    {
        return go_to(reader, chunk_state::extension_value, fate::removed);
    }
    if (reader.state == chunk_state::extension_value)
    {
        return read_delimiter(reader, byte, chunk_state::space_after_value);
    }
    if (byte == '"')
    {
        return go_to(reader, chunk_state::quoted_value, fate::removed);
    }
    return is_blank(byte) ? fate::removed : reject(reader);
}

fate read_quoted(chunk_reader& reader, char byte)
{
    if (!is_field_char(byte))
    {
        return reject(reader);
    }
    if (reader.state == chunk_state::quoted_pair)
    {
        return go_to(reader, chunk_state::quoted_value, fate::removed);
    }
    if (byte == '"')
    {
        return go_to(reader, chunk_state::quoted_value_end, fate::removed);
    }
    return go_to(reader, byte == '\\' ? chunk_state::quoted_pair : chunk_state::quoted_value,
                 fate::removed);
}

fate read_size_line_feed(chunk_reader& reader, char byte)
{
    if (byte != '\n')
    {
        return reject(reader);
    }
    reader.line_bytes = 0;
    reader.has_digit = false;
    return go_to(reader, reader.remaining > 0 ? chunk_state::data : chunk_state::trailer_begin,
                 fate::kept);
}

fate read_trailer_name(chunk_reader& reader, char byte)
{
    if (is_token_char(byte))
    {
        return go_to(reader, chunk_state::trailer_name, fate::removed);
    }
    if (reader.state == chunk_state::trailer_begin)
    {
        return byte == '\r' ? go_to(reader, chunk_state::last_line_feed, fate::kept)
                            : reject(reader);
    }
    return byte == ':' ? go_to(reader, chunk_state::trailer_value, fate::removed) : reject(reader);
}

fate read_trailer_value(chunk_reader& reader, char byte)
{
    if (byte == '\r')
    {
        return go_to(reader, chunk_state::trailer_line_feed, fate::removed);
    }
    return is_field_char(byte) ? fate::removed : reject(reader);
}

/// Reads a byte that must be `expected`.
fate read_exactly(chunk_reader& reader, char byte, char expected, chunk_state next, fate of_byte)
{
    return byte == expected ? go_to(reader, next, of_byte) : reject(reader);
}

/// Checks a byte outside of the data of chunks.
fate read_byte(chunk_reader& reader, char byte)
{
    switch (reader.state)
    {
    case chunk_state::size_begin:
    case chunk_state::size:
        return read_size_digit(reader, byte);
    case chunk_state::space_before_extension:
    case chunk_state::space_after_value:
        return read_space(reader, byte, ';', chunk_state::extension_name_begin);
    case chunk_state::extension_name_begin:
    case chunk_state::extension_name:
        return read_extension_name(reader, byte);
    case chunk_state::space_after_name:
        return read_space(reader, byte, '=', chunk_state::extension_value_begin);
    case chunk_state::extension_value_begin:
    case chunk_state::extension_value:
        return read_extension_value(reader, byte);
    case chunk_state::quoted_value:
    case chunk_state::quoted_pair:
        return read_quoted(reader, byte);
    case chunk_state::quoted_value_end:
        return read_delimiter(reader, byte, chunk_state::space_after_value);
    case chunk_state::size_line_feed:
        return read_size_line_feed(reader, byte);
    case chunk_state::data_carriage_return:
        return read_exactly(reader, byte, '\r', chunk_state::data_line_feed, fate::kept);
    case chunk_state::data_line_feed:
        return read_exactly(reader, byte, '\n', chunk_state::size_begin, fate::kept);
    case chunk_state::trailer_begin:
    case chunk_state::trailer_name:
        return read_trailer_name(reader, byte);
    case chunk_state::trailer_value:
        return read_trailer_value(reader, byte);
    case chunk_state::trailer_line_feed:
        return read_exactly(reader, byte, '\n', chunk_state::trailer_begin, fate::removed);
    case chunk_state::last_line_feed:
        return read_exactly(reader, byte, '\n', chunk_state::complete, fate::kept);
    case chunk_state::data:
    case chunk_state::complete:
    case chunk_state::malformed:
        break;
    }
    return reject(reader);
}

bool is_in_trailers(chunk_state state)
{
    return state >= chunk_state::trailer_begin && state <= chunk_state::last_line_feed;
}

void limit_line(chunk_reader& reader)
{
    auto const limit = is_in_trailers(reader.state) ? max_trailer_bytes : max_chunk_line_bytes;
    if (++reader.line_bytes > limit)
    {
        reject(reader);
    }
}

/// \returns the number of bytes of the data of a chunk.
std::size_t read_data(chunk_reader& reader, std::size_t available)
{
    auto const count = std::min<std::uint64_t>(available, reader.remaining);
    reader.remaining -= count;
    if (reader.remaining == 0)
    {
        reader.state = chunk_state::data_carriage_return;
    }
    return static_cast<std::size_t>(count);
}

bool has_ended(chunk_reader const& reader)
{
    return reader.state == chunk_state::complete || reader.state == chunk_state::malformed;
}

} // namespace

read_bytes read_chunks(chunk_reader& reader, std::span<char> bytes)
{
    read_bytes read;
    while (read.taken < bytes.size() && !has_ended(reader))
    {
        if (reader.state == chunk_state::data)
        {
            auto const count = read_data(reader, bytes.size() - read.taken);
            std::memmove(bytes.data() + read.kept, bytes.data() + read.taken, count);
            read.taken += count;
            read.kept += count;
            reader.line_bytes = 0;
            continue;
        }
        auto const byte = bytes[read.taken++];
        limit_line(reader);
        if (!has_ended(reader) && read_byte(reader, byte) == fate::kept)
        {
            bytes[read.kept++] = byte;
        }
    }
    return read;
}

} // namespace gooseberrywood::http
