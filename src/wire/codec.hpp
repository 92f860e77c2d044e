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
/// \brief Maximum size of a frame in bytes, without the length prefix. A stored configuration (1
/// MB) and a request body of maximum size (1 MiB) each fit.
inline constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

/// \ingroup wire
/// \brief Size of the length prefix of a frame in bytes.
inline constexpr std::size_t length_bytes = 4;

/// \ingroup wire
/// \brief Encodes a frame with its length prefix.
/// \returns `frame_too_large` if the frame exceeds `max_frame_bytes`.
[[nodiscard]] base::result<std::string> encode(frame const& value);

/// \ingroup wire
/// \brief Decodes a frame without its length prefix. The bytes may come from an untrusted peer.
/// \returns `frame_malformed` if verification fails or the message type is unknown.
[[nodiscard]] base::result<frame> decode(std::span<std::byte const> bytes);

} // namespace gooseberrywood::wire

#endif
