#ifndef GOOSEBERRYWOOD_WIRE_FRAME_BUFFER_HPP
#define GOOSEBERRYWOOD_WIRE_FRAME_BUFFER_HPP

#include "base/result.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace gooseberrywood::wire
{

/// \ingroup wire
/// \brief Cuts a byte stream into frames. Holds at most one frame and what was read behind it.
struct frame_buffer
{
    std::vector<std::byte> bytes;
    std::size_t consumed = 0;
};

/// \brief Adds received bytes.
void append(frame_buffer& buffer, std::span<std::byte const> received);

/// \brief Takes the next whole frame.
/// \returns the frame's bytes without the length, valid until the next call with this buffer;
/// nothing when more bytes are needed; `frame_too_large` when the announced length exceeds the
/// limit.
[[nodiscard]] base::result<std::optional<std::span<std::byte const>>>
next_frame(frame_buffer& buffer);

} // namespace gooseberrywood::wire

#endif
