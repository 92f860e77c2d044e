#include "wire/frame_buffer.hpp"

#include "wire/codec.hpp"

#include <fmt/format.h>

#include <flatbuffers/base.h>

namespace gooseberrywood::wire
{

void append(frame_buffer& buffer, std::span<std::byte const> received)
{
    if (buffer.consumed > 0)
    {
        buffer.bytes.erase(buffer.bytes.begin(),
                           buffer.bytes.begin() + static_cast<std::ptrdiff_t>(buffer.consumed));
        buffer.consumed = 0;
    }
    buffer.bytes.insert(buffer.bytes.end(), received.begin(), received.end());
}

base::result<std::optional<std::span<std::byte const>>> next_frame(frame_buffer& buffer)
{
    std::span<std::byte const> const unread = std::span(buffer.bytes).subspan(buffer.consumed);
    if (unread.size() < length_bytes)
    {
        return std::nullopt;
    }
    auto const length = flatbuffers::ReadScalar<std::uint32_t>(unread.data());
    if (length > max_frame_bytes)
    {
        return base::fail(base::result_code::frame_too_large,
                          fmt::format("peer announced a frame of {} bytes, the limit is {} bytes",
                                      length, max_frame_bytes));
    }
    if (unread.size() - length_bytes < length)
    {
        return std::nullopt;
    }
    buffer.consumed += length_bytes + length;
    return unread.subspan(length_bytes, length);
}

} // namespace gooseberrywood::wire
