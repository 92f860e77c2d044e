#ifndef GOOSEBERRYWOOD_WIRE_CODEC_HPP
#define GOOSEBERRYWOOD_WIRE_CODEC_HPP

#include "base/result.hpp"
#include "wire/message.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace gooseberrywood::wire
{

/// \ingroup wire
/// \brief Largest frame in bytes, without its length. A stored configuration (1 MB) and a request
/// body at its limit (1 MiB) both fit.
inline constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

/// \ingroup wire
/// \brief Bytes of the length in front of each frame.
inline constexpr std::size_t length_bytes = 4;

/// \ingroup wire
/// \brief Encodes a frame with its length in front.
/// \returns `frame_too_large` when the message does not fit.
[[nodiscard]] base::result<std::string> encode(frame const& value);

/// \ingroup wire
/// \brief Decodes a frame without its length. The bytes are not trusted.
/// \returns `frame_malformed` when they don't verify.
[[nodiscard]] base::result<frame> decode(std::span<std::byte const> bytes);

} // namespace gooseberrywood::wire

#endif
