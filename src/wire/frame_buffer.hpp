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
/// \brief Splits a byte stream into frames. Holds at most one frame and the bytes read after it.
struct frame_buffer
{
    std::vector<std::byte> bytes;
    std::size_t consumed = 0;
};

/// \brief Appends received bytes.
void append(frame_buffer& buffer, std::span<std::byte const> received);

/// \brief Extracts the next complete frame.
/// \returns the bytes of the frame without the length prefix, valid until the next call with this
/// buffer; nullopt if more bytes are needed; `frame_too_large` if the announced length exceeds the
/// limit.
[[nodiscard]] base::result<std::optional<std::span<std::byte const>>>
next_frame(frame_buffer& buffer);

} // namespace gooseberrywood::wire

#endif
