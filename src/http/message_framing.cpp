#include "http/message_framing.hpp"

#include "base/parse_number.hpp"
#include "http/status.hpp"

#include <algorithm>
#include <cstring>
#include <optional>
#include <string_view>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

constexpr std::string_view version_prefix = "HTTP/1.";
constexpr std::string_view version_1_0 = "HTTP/1.0";

void break_off(message_framing& framing, char const* reason,
               fault_kind kind = fault_kind::malformed)
{
    framing.part = message_part::broken;
    framing.fault = {reason, kind};
}

bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Counts received bytes, and breaks off if the response becomes too large.
void count_bytes(message_framing& framing, std::size_t bytes)
{
    auto const share = framing.share.lock();
    auto const outcome = share ? base::grow(*share, bytes) : base::growth::granted;
    if (outcome != base::growth::granted)
    {
        break_off(framing, describe(outcome), fault_kind::too_large);
    }
}

/// Reads "HTTP/1.x NNN".
/// \returns nothing if the line is no status line.
std::optional<std::uint16_t> read_status(std::string_view line)
{
    constexpr std::size_t version_bytes = version_1_0.size();
    constexpr std::size_t code_digits = 3;
    if (!line.starts_with(version_prefix) || line.size() < version_bytes + 1 + code_digits ||
        !is_digit(line[version_prefix.size()]) || line[version_bytes] != ' ')
    {
        return std::nullopt;
    }
    auto const code = line.substr(version_bytes + 1, code_digits);
    auto const rest = line.substr(version_bytes + 1 + code_digits);
    if (!std::all_of(code.begin(), code.end(), is_digit) || !(rest.empty() || rest.front() == ' '))
    {
        return std::nullopt;
    }
    auto const number = base::parse_number<std::uint16_t>(code);
    return number && status::is_valid(*number) ? number : std::nullopt;
}

void read_status_line(message_framing& framing)
{
    auto const status = read_status(framing.head.start_line);
    if (!status)
    {
        break_off(framing, "the status line of the response is malformed");
        return;
    }
    framing.status = *status;
}

bool is_http_1_0(message_framing const& framing)
{
    std::string_view const line = framing.head.start_line;
    return framing.kind == message_kind::responses ? line.starts_with(version_1_0)
                                                   : line.ends_with(version_1_0);
}

/// Whether the message has a body, if its headers announce one.
bool may_have_body(message_framing const& framing)
{
    return framing.kind == message_kind::requests ||
           (!framing.is_answer_to_head && framing.status != status::no_content &&
            framing.status != status::not_modified);
}

body_end end_of_body(message_framing const& framing, body_framing const& body)
{
    if (!may_have_body(framing))
    {
        return body_end::no_body;
    }
    if (body.is_chunked)
    {
        return body_end::chunks;
    }
    if (body.length)
    {
        return body_end::length;
    }
    return framing.kind == message_kind::responses ? body_end::connection : body_end::no_body;
}

/// Finds out from the headers where the message ends.
void begin_body(message_framing& framing)
{
    framing_fault fault;
    auto const body = read_body_framing(framing.head, is_http_1_0(framing), fault);
    if (fault.reason != nullptr)
    {
        break_off(framing, fault.reason);
        return;
    }
    framing.content_length = body.length.value_or(0);
    framing.remaining = framing.content_length;
    framing.chunks = {};
    framing.end = end_of_body(framing, body);
    bool const is_empty = framing.end == body_end::no_body ||
                          (framing.end == body_end::length && framing.remaining == 0);
    framing.part = is_empty ? message_part::complete : message_part::body;
}

void begin_message(message_framing& framing, std::size_t head_bytes_before)
{
    framing.part = message_part::head;
    framing.status = 0;
    begin_head(framing.head, head_bytes_before);
}

void end_head(message_framing& framing)
{
    if (framing.kind == message_kind::responses && framing.status == status::switching_protocols)
    {
        break_off(framing, "the upstream changed the protocol without being asked");
        return;
    }
    if (framing.kind == message_kind::responses && framing.status < status::ok)
    {
        // An interim response; the final one follows.
        begin_message(framing, framing.head.bytes);
        return;
    }
    begin_body(framing);
}

std::size_t read_head(message_framing& framing, std::span<char const> bytes)
{
    framing_fault fault;
    auto const count = read_head_line(framing.head, bytes, framing.max_head_bytes, fault);
    if (fault.reason != nullptr)
    {
        break_off(framing, fault.reason, fault.kind);
        return count;
    }
    bool const has_unread_status = framing.kind == message_kind::responses && framing.status == 0 &&
                                   !framing.head.start_line.empty();
    if (has_unread_status)
    {
        read_status_line(framing);
    }
    if (framing.part == message_part::head && framing.head.is_complete)
    {
        end_head(framing);
    }
    return count;
}

read_bytes read_body_of_length(message_framing& framing, std::size_t available)
{
    auto const count = std::min<std::uint64_t>(available, framing.remaining);
    framing.remaining -= count;
    if (framing.remaining == 0)
    {
        framing.part = message_part::complete;
    }
    return {static_cast<std::size_t>(count), static_cast<std::size_t>(count)};
}

read_bytes read_chunked_body(message_framing& framing, std::span<char> bytes)
{
    auto const read = read_chunks(framing.chunks, bytes);
    if (framing.chunks.state == chunk_state::malformed)
    {
        break_off(framing, "the chunks of the message are malformed");
    }
    if (framing.chunks.state == chunk_state::complete)
    {
        framing.part = message_part::complete;
    }
    return read;
}

read_bytes read_body(message_framing& framing, std::span<char> bytes)
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

/// Reads bytes after the end of a response. Another response does not belong to its body, so that
/// the one before is whole. Anything else may be the rest of a body whose length is wrong.
read_bytes read_surplus(message_framing& framing, std::span<char const> bytes)
{
    auto const compared = std::min(bytes.size(), version_prefix.size());
    std::string_view const begin(bytes.data(), compared);
    if (!framing.has_surplus && begin != version_prefix.substr(0, compared))
    {
        break_off(framing, "bytes arrived where no response is due");
    }
    framing.has_surplus = true;
    return {bytes.size(), 0};
}

read_bytes read_after_message(message_framing& framing, std::span<char const> bytes)
{
    if (framing.kind == message_kind::responses)
    {
        return read_surplus(framing, bytes);
    }
    begin_message(framing, 0);
    return {0, 0};
}

read_bytes read_part(message_framing& framing, std::span<char> bytes)
{
    switch (framing.part)
    {
    case message_part::head:
    {
        auto const count = read_head(framing, bytes);
        return {count, count};
    }
    case message_part::body:
        return read_body(framing, bytes);
    case message_part::complete:
        return read_after_message(framing, bytes);
    case message_part::none:
        break_off(framing, "bytes arrived where no response is due");
        break;
    case message_part::broken:
        break;
    }
    return {bytes.size(), 0};
}

} // namespace

void expect_requests(message_framing& framing)
{
    framing.kind = message_kind::requests;
    begin_message(framing, 0);
}

char const* describe(base::growth outcome)
{
    return outcome == base::growth::share_full
               ? "the response exceeds the size limit"
               : "the responses of all upstreams use up the memory for them";
}

void expect_response(message_framing& framing, bool is_answer_to_head,
                     std::weak_ptr<base::byte_share> share)
{
    framing.share = std::move(share);
    if (framing.part == message_part::broken)
    {
        return;
    }
    if (framing.has_surplus)
    {
        break_off(framing, "the connection holds another response than the one that is due");
        return;
    }
    begin_message(framing, 0);
    framing.is_answer_to_head = is_answer_to_head;
}

std::size_t check_received(message_framing& framing, std::span<char> bytes)
{
    count_bytes(framing, bytes.size());
    std::size_t kept = 0;
    std::size_t taken = 0;
    while (taken < bytes.size() && framing.part != message_part::broken)
    {
        auto const read = read_part(framing, bytes.subspan(taken));
        std::memmove(bytes.data() + kept, bytes.data() + taken, read.kept);
        taken += read.taken;
        kept += read.kept;
    }
    return kept;
}

void check_end(message_framing& framing)
{
    if (framing.part == message_part::head && framing.head.bytes > 0)
    {
        break_off(framing, "the connection was closed within a head", fault_kind::cut);
        return;
    }
    if (framing.part != message_part::body)
    {
        return;
    }
    if (framing.end == body_end::connection)
    {
        framing.part = message_part::complete;
        return;
    }
    break_off(framing,
              framing.end == body_end::chunks
                  ? "the connection was closed before the last chunk"
                  : "the connection was closed before the end of a body",
              fault_kind::cut);
}

} // namespace gooseberrywood::http
