#ifndef GOOSEBERRYWOOD_WIRE_HPP
#define GOOSEBERRYWOOD_WIRE_HPP

/// \defgroup wire wire
/// \brief Protocol between processes: typed messages, their FlatBuffers encoding and TCP
/// connections.
///
/// A frame is a 4-byte little-endian length followed by a FlatBuffers buffer of that length. The
/// first frame that each side sends is `hello`.

#include "wire/codec.hpp"
#include "wire/connection.hpp"
#include "wire/frame_buffer.hpp"
#include "wire/listener.hpp"
#include "wire/message.hpp"

#endif
