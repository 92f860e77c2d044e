#ifndef GOOSEBERRYWOOD_WIRE_HPP
#define GOOSEBERRYWOOD_WIRE_HPP

/// \defgroup wire wire
/// \brief Frames between processes: typed messages, their FlatBuffers form, and TCP connections.
///
/// A frame is a 4-byte little-endian length and a FlatBuffers buffer of that length. Each side
/// opens with `hello`.

#include "wire/codec.hpp"
#include "wire/connection.hpp"
#include "wire/frame_buffer.hpp"
#include "wire/listener.hpp"
#include "wire/message.hpp"

#endif
