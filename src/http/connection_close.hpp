#ifndef GOOSEBERRYWOOD_HTTP_CONNECTION_CLOSE_HPP
#define GOOSEBERRYWOOD_HTTP_CONNECTION_CLOSE_HPP

#include "http/connection_table.hpp"

#include <cstddef>
#include <cstdint>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Why this process closes a connection of a client.
enum class close_reason : std::uint8_t
{
    /// The client was silent, or did not read its answer, for the idle time.
    idle,
    /// The request was rejected, and the client had time to read the answer.
    rejected,
    /// The connection had stalled while there was no room for others.
    no_room,
    /// The request was given up: its client had left, or its answer broke off.
    given_up,
    /// The process stops.
    stopping,
    /// The grace time of the stop is over.
    grace_over,
};

/// \ingroup http
/// \brief Number of bytes that have arrived and wait in the socket.
[[nodiscard]] std::size_t unread_bytes(open_connection const& connection);

/// \ingroup http
/// \brief Whether nothing of a request was read since the last answer, and nothing waits unread.
[[nodiscard]] bool is_between_requests(open_connection const& connection);

/// \ingroup http
/// \brief Whether the times of a connection can't be judged yet, because bytes have arrived that
/// were not read: the main loop may be late, and not the client.
///
/// \returns false once more of a head was read since the first deferral. What arrives in time is
/// read at once, so that the client is late then.
[[nodiscard]] bool must_be_read_first(open_connection& connection);

/// \ingroup http
/// \brief Closes a connection from the side of this process, and logs why. What has arrived is
/// discarded, so that no request is served whose client can't get the answer: a socket that was
/// shut down still yields what it received before.
void close_connection(open_connection& connection, close_reason reason);

} // namespace gooseberrywood::http

#endif
