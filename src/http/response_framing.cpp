#include "http/response_framing.hpp"

#include "base/parse_number.hpp"
#include "http/field_grammar.hpp"
#include "http/status.hpp"

#include <glib.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace gooseberrywood::http
{

namespace
{

void break_off(response_framing& framing, char const* reason, bool is_cut = false)
{
    framing.part = response_part::broken;
    framing.fault = {reason, is_cut};
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Reads "HTTP/1.x NNN".
bool read_status_line(response_framing& framing, std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t version_bytes = version.size() + 1;
    constexpr std::size_t code_digits = 3;
    if (!line.starts_with(version) || line.size() < version_bytes + 1 + code_digits ||
        !is_digit(line[version.size()]) || line[version_bytes] != ' ')
    {
        return false;
    }
    auto const code = line.substr(version_bytes + 1, code_digits);
    auto const rest = line.substr(version_bytes + 1 + code_digits);
    if (!std::all_of(code.begin(), code.end(), is_digit) || code[0] == '0' ||
        !(rest.empty() || rest.front() == ' '))
    {
        return false;
    }
    framing.status = base::parse_number<std::uint16_t>(code).value_or(0);
    framing.is_http_1_0 = line[version.size()] == '0';
    return true;
}

void append_value(std::optional<std::string>& values, std::string_view value, char separator)
{
    if (!values)
    {
        values.emplace(value);
        return;
    }
    *values += separator;
    *values += value;
}

void read_header(response_framing& framing, std::string_view line)
{
    if (is_blank(line.front()))
    {
        if (framing.folded != nullptr)
        {
            append_value(*framing.folded, trim_blanks(line), ' ');
        }
        return;
    }
    framing.folded = nullptr;
    auto const colon = std::min(line.find(':'), line.size());
    auto const name = line.substr(0, colon);
    auto const trimmed = trim_blanks(name);
    auto* const values = equals_ignoring_case(trimmed, "Content-Length") ? &framing.content_lengths
                         : equals_ignoring_case(trimmed, "Transfer-Encoding")
                             ? &framing.transfer_codings
                             : nullptr;
    if (values == nullptr)
    {
        return;
    }
    if (trimmed != name || colon == line.size())
    {
        break_off(framing, "the header with the length of the response is malformed");
        return;
    }
    append_value(*values, trim_blanks(line.substr(colon + 1)), ',');
    framing.folded = values;
}

/// \returns the length that all elements of a list state alike.
std::optional<std::uint64_t> read_length(std::string_view list)
{
    std::optional<std::uint64_t> length;
    for (bool is_last = false; !is_last;)
    {
        auto const comma = list.find(',');
        auto const element = trim_blanks(list.substr(0, comma));
        auto const value = base::parse_number<std::int64_t>(element);
        if (!value || !is_digit(element.front()) ||
            (length && *length != static_cast<std::uint64_t>(*value)))
        {
            return std::nullopt;
        }
        length = static_cast<std::uint64_t>(*value);
        is_last = comma == std::string_view::npos;
        list.remove_prefix(is_last ? list.size() : comma + 1);
    }
    return length;
}

/// Whether a response to this request has a body, if its headers announce one.
bool may_have_body(response_framing const& framing)
{
    return !framing.is_answer_to_head && framing.status != status::no_content &&
           framing.status != status::not_modified;
}

/// Finds out from the headers of a final response where it ends.
void begin_body(response_framing& framing)
{
    auto const length =
        framing.content_lengths ? read_length(*framing.content_lengths) : std::nullopt;
    if (framing.content_lengths && !length)
    {
        break_off(framing, "the length of the response is unreadable or contradictory");
        return;
    }
    bool const is_chunked =
        framing.transfer_codings && equals_ignoring_case(*framing.transfer_codings, "chunked");
    if (framing.transfer_codings && (!is_chunked || framing.is_http_1_0))
    {
        break_off(framing, "the transfer coding of the response is not supported");
        return;
    }
    framing.content_length = length.value_or(0);
    framing.remaining = framing.content_length;
    framing.chunks = {};
    framing.end = !may_have_body(framing) ? body_end::no_body
                  : is_chunked            ? body_end::chunks
                  : length                ? body_end::length
                                          : body_end::connection;
    bool const is_empty = framing.end == body_end::no_body ||
                          (framing.end == body_end::length && framing.remaining == 0);
    framing.part = is_empty ? response_part::complete : response_part::body;
}

void begin_head(response_framing& framing)
{
    framing.part = response_part::head;
    framing.line.clear();
    framing.status = 0;
    framing.content_lengths.reset();
    framing.transfer_codings.reset();
    framing.folded = nullptr;
}

void end_head(response_framing& framing)
{
    if (framing.status == status::switching_protocols)
    {
        break_off(framing, "the upstream changed the protocol without being asked");
        return;
    }
    if (framing.status < status::ok)
    {
        begin_head(framing);
        return;
    }
    begin_body(framing);
}

/// Reads a line of a head, without its line feed.
void read_head_line(response_framing& framing, std::string_view line)
{
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    if (!std::all_of(line.begin(), line.end(), is_field_char))
    {
        break_off(framing, "the head of the response holds a control character");
        return;
    }
    if (framing.status != 0)
    {
        line.empty() ? end_head(framing) : read_header(framing, line);
        return;
    }
    if (!line.empty() && !read_status_line(framing, line))
    {
        break_off(framing, "the status line of the response is malformed");
    }
}

/// \returns the number of bytes that belong to the head.
std::size_t read_head(response_framing& framing, std::span<char const> bytes)
{
    std::string_view const text(bytes.data(), bytes.size());
    auto const line_feed = text.find('\n');
    bool const is_whole_line = line_feed != std::string_view::npos;
    auto const count = is_whole_line ? line_feed + 1 : text.size();
    framing.head_bytes += count;
    if (framing.head_bytes > max_head_bytes)
    {
        break_off(framing, "the head of the response exceeds the size limit");
        return count;
    }
    framing.line += text.substr(0, line_feed);
    if (is_whole_line)
    {
        auto const line = std::move(framing.line);
        framing.line.clear();
        read_head_line(framing, line);
    }
    return count;
}

read_bytes read_body_of_length(response_framing& framing, std::size_t available)
{
    auto const count = std::min<std::uint64_t>(available, framing.remaining);
    framing.remaining -= count;
    if (framing.remaining == 0)
    {
        framing.part = response_part::complete;
    }
    return {static_cast<std::size_t>(count), static_cast<std::size_t>(count)};
}

read_bytes read_chunked_body(response_framing& framing, std::span<char> bytes)
{
    auto const read = read_chunks(framing.chunks, bytes);
    if (framing.chunks.state == chunk_state::malformed)
    {
        break_off(framing, "the chunks of the response are malformed");
    }
    if (framing.chunks.state == chunk_state::complete)
    {
        framing.part = response_part::complete;
    }
    return read;
}

read_bytes read_body(response_framing& framing, std::span<char> bytes)
{
    switch (framing.end)
    {
    case body_end::length:
        return read_body_of_length(framing, bytes.size());
    case body_end::chunks:
        return read_chunked_body(framing, bytes);
    case body_end::connection:
    case body_end::no_body:
        break;
    }
    return {bytes.size(), bytes.size()};
}

read_bytes read_part(response_framing& framing, std::span<char> bytes)
{
    switch (framing.part)
    {
    case response_part::head:
    {
        auto const count = read_head(framing, bytes);
        return {count, count};
    }
    case response_part::body:
        return read_body(framing, bytes);
    case response_part::none:
    case response_part::complete:
        break_off(framing, "bytes arrived where no response is due");
        break;
    case response_part::broken:
        break;
    }
    return {bytes.size(), 0};
}

} // namespace

void expect_response(response_framing& framing, bool is_answer_to_head)
{
    if (framing.part == response_part::broken)
    {
        return;
    }
    begin_head(framing);
    framing.head_bytes = 0;
    framing.is_answer_to_head = is_answer_to_head;
}

std::size_t check_received(response_framing& framing, std::span<char> bytes)
{
    std::size_t kept = 0;
    std::size_t taken = 0;
    while (taken < bytes.size() && framing.part != response_part::broken)
    {
        auto const read = read_part(framing, bytes.subspan(taken));
        std::memmove(bytes.data() + kept, bytes.data() + taken, read.kept);
        taken += read.taken;
        kept += read.kept;
    }
    return kept;
}

void check_end(response_framing& framing)
{
    if (framing.part == response_part::head && framing.head_bytes > 0)
    {
        break_off(framing, "the connection was closed within the head of the response", true);
        return;
    }
    if (framing.part != response_part::body)
    {
        return;
    }
    if (framing.end == body_end::connection)
    {
        framing.part = response_part::complete;
        return;
    }
    break_off(framing,
              framing.end == body_end::chunks
                  ? "the connection was closed before the last chunk of the response"
                  : "the connection was closed before the end of the response",
              true);
}

} // namespace gooseberrywood::http
