#include "http/message_head.hpp"

#include "base/parse_number.hpp"
#include "http/field_grammar.hpp"

#include <glib.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
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

void read_header(message_head& head, std::string_view line, framing_fault& fault)
{
    if (is_blank(line.front()))
    {
        if (head.folded != nullptr)
        {
            append_value(*head.folded, trim_blanks(line), ' ');
        }
        return;
    }
    head.folded = nullptr;
    auto const colon = std::min(line.find(':'), line.size());
    auto const name = line.substr(0, colon);
    auto const trimmed = trim_blanks(name);
    auto* const values = equals_ignoring_case(trimmed, "Content-Length") ? &head.content_lengths
                         : equals_ignoring_case(trimmed, "Transfer-Encoding")
                             ? &head.transfer_codings
                             : nullptr;
    if (values == nullptr)
    {
        return;
    }
    if (trimmed != name || colon == line.size())
    {
        fault.reason = "the header with the length is malformed";
        return;
    }
    append_value(*values, trim_blanks(line.substr(colon + 1)), ',');
    head.folded = values;
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

/// Reads a whole line of a head, without its line feed.
void read_line(message_head& head, std::string_view line, framing_fault& fault)
{
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    if (!std::all_of(line.begin(), line.end(), is_field_char))
    {
        fault.reason = "a head holds a control character";
        return;
    }
    if (head.start_line.empty())
    {
        // Empty lines before the first one are skipped.
        head.start_line = line;
        return;
    }
    if (line.empty())
    {
        head.is_complete = true;
        return;
    }
    read_header(head, line, fault);
}

} // namespace

void begin_head(message_head& head, std::size_t bytes_before)
{
    head.start_line.clear();
    head.content_lengths.reset();
    head.transfer_codings.reset();
    head.is_complete = false;
    head.bytes = bytes_before;
    head.lines = 0;
    head.partial_line.clear();
    head.folded = nullptr;
}

std::size_t read_head_line(message_head& head, std::span<char const> bytes, std::size_t max_bytes,
                           framing_fault& fault)
{
    std::string_view const text(bytes.data(), bytes.size());
    auto const line_feed = text.find('\n');
    bool const is_whole_line = line_feed != std::string_view::npos;
    auto const count = is_whole_line ? line_feed + 1 : text.size();
    head.bytes += count;
    if (head.bytes > max_bytes)
    {
        fault = {"a head exceeds the size limit", fault_kind::too_large};
        return count;
    }
    head.partial_line += text.substr(0, line_feed);
    if (is_whole_line)
    {
        ++head.lines;
        read_line(head, std::exchange(head.partial_line, {}), fault);
    }
    return count;
}

body_framing read_body_framing(message_head const& head, bool is_http_1_0, framing_fault& fault)
{
    body_framing framing;
    framing.length = head.content_lengths ? read_length(*head.content_lengths) : std::nullopt;
    if (head.content_lengths && !framing.length)
    {
        fault.reason = "the length is unreadable or contradictory";
        return framing;
    }
    framing.is_chunked =
        head.transfer_codings && equals_ignoring_case(*head.transfer_codings, "chunked");
    if (head.transfer_codings && (!framing.is_chunked || is_http_1_0))
    {
        fault.reason = "the transfer coding is not supported";
    }
    return framing;
}

} // namespace gooseberrywood::http
