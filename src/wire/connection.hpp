#ifndef GOOSEBERRYWOOD_WIRE_CONNECTION_HPP
#define GOOSEBERRYWOOD_WIRE_CONNECTION_HPP

#include "base/event_source.hpp"
#include "base/glib_ptr.hpp"
#include "base/result.hpp"
#include "wire/frame_buffer.hpp"
#include "wire/message.hpp"
#include "wire/send_times.hpp"

#include <gio/gio.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywood::wire
{

/// \ingroup wire
/// \brief Maximum number of bytes queued for sending on one connection. A peer that reads too
/// slowly to stay below it is disconnected, so that it can't exhaust this process's memory.
inline constexpr std::size_t max_unsent_bytes = 32 * 1024 * 1024;

/// \ingroup wire
/// \brief Interval at which each connection sends a ping.
inline constexpr base::duration ping_interval = std::chrono::seconds(1);

/// \ingroup wire
/// \brief Time without received data after which a peer is disconnected. It corresponds to three
/// lost pings.
inline constexpr base::duration silence_limit = std::chrono::seconds(3);

/// \ingroup wire
/// \brief Callbacks of the owner of a connection.
struct connection_handlers
{
    /// A frame was received. The first one is always the peer's `hello`.
    std::function<void(frame&)> on_frame;
    /// The connection was closed. Called at most once; no handler is called after it.
    std::function<void(base::error const&)> on_closed;
    /// Returns the state of this process to include in each sent frame.
    std::function<frame_stamp()> stamp;
};

/// \ingroup wire
/// \brief A TCP connection that carries frames, served by the main loop.
///
/// Create it with `make_connection`. The owner holds it by shared_ptr and may release it in a
/// handler.
struct connection : std::enable_shared_from_this<connection>
{
    base::object_ptr<GSocket> socket;
    connection_handlers handlers;
    frame_buffer received;
    std::string unsent;
    /// Number of bytes at the start of `unsent` that the socket has already accepted.
    std::size_t unsent_offset = 0;
    base::event_source readable;
    base::event_source writable;
    base::event_source flush;
    base::event_source liveness;
    /// The peer is disconnected if it has sent nothing by this time.
    base::mono_time silence_deadline{};
    /// First frame of the peer; empty until it is received.
    std::optional<hello> peer;
    /// Offset to add to a wall-clock time of the peer to convert it to this process's clock.
    base::wall_clock::duration clock_offset{};
    /// Lower bound for the send times of received frames.
    send_times times;
    /// The send queue was full. The main loop closes the connection.
    bool overflowed = false;
    bool closed = false;
};

/// \ingroup wire
/// \brief Creates a connection from a connected socket and sends `hello`.
[[nodiscard]] std::shared_ptr<connection>
make_connection(base::object_ptr<GSocket> socket, hello const& own, connection_handlers handlers);

/// \ingroup wire
/// \brief Queues a message. The main loop writes it before it sleeps again, unless the socket's
/// send buffer is full.
/// \returns `connection_lost` if the connection is closed or the peer reads too slowly,
/// `frame_too_large` if the message exceeds the frame limit. No handler is called before it
/// returns.
base::result<void> send(connection& target, message body);

/// \ingroup wire
/// \brief Closes a connection. `on_closed` is called unless it was already closed.
void close(connection& closing, base::error const& reason);

/// \ingroup wire
/// \brief Converts a wall-clock time received from the peer to this process's monotonic clock.
[[nodiscard]] base::mono_time to_local(connection const& source, base::wall_time peer_time);

/// \ingroup wire
/// \brief Converts a time on this process's monotonic clock to a wall-clock time for the wire.
[[nodiscard]] base::wall_time to_wall(base::mono_time local);

/// \ingroup wire
/// \brief Opens a TCP connection asynchronously.
/// \param address `IP:port`.
/// \param done called by the main loop with the connected socket or the error.
void connect_to(std::string_view address,
                std::function<void(base::result<base::object_ptr<GSocket>>)> done);

} // namespace gooseberrywood::wire

#endif
