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
/// \brief Most bytes that wait to be sent on one connection. A peer that reads so slowly that more
/// would wait is disconnected, so that it can't exhaust this process's memory.
inline constexpr std::size_t max_unsent_bytes = 32 * 1024 * 1024;

/// \ingroup wire
/// \brief An idle connection sends a ping at this interval.
inline constexpr base::duration ping_interval = std::chrono::seconds(1);

/// \ingroup wire
/// \brief A peer that sent nothing for so long is disconnected: three lost pings.
inline constexpr base::duration silence_limit = std::chrono::seconds(3);

/// \ingroup wire
/// \brief What the owner of a connection supplies.
struct connection_handlers
{
    /// A frame arrived. The first one is always the peer's `hello`.
    std::function<void(frame&)> on_frame;
    /// The connection ended; called once, and nothing is called after it.
    std::function<void(base::error const&)> on_closed;
    /// What each sent frame says of this process.
    std::function<frame_stamp()> stamp;
};

/// \ingroup wire
/// \brief A framed TCP connection on the main loop.
///
/// Create it with `make_connection`; the owner keeps it by shared_ptr, and may drop it in a
/// handler.
struct connection : std::enable_shared_from_this<connection>
{
    base::object_ptr<GSocket> socket;
    connection_handlers handlers;
    frame_buffer received;
    std::string unsent;
    std::size_t unsent_begin = 0;
    base::event_source readable;
    base::event_source writable;
    base::event_source flush;
    base::event_source liveness;
    base::mono_time silent_after{};
    std::optional<hello> peer;
    /// Added to a wall-clock time of the peer to get one of this process.
    base::wall_clock::duration clock_offset{};
    /// Bounds when received frames were sent.
    send_times times;
    bool closed = false;
};

/// \ingroup wire
/// \brief Takes over a connected socket and sends `hello` on it.
[[nodiscard]] std::shared_ptr<connection>
make_connection(base::object_ptr<GSocket> socket, hello const& own, connection_handlers handlers);

/// \ingroup wire
/// \brief Queues a message; it is written before the loop sleeps again.
/// \returns `connection_lost` when the connection is closed, `frame_too_large` when it can't be
/// sent.
base::result<void> send(connection& to, message body);

/// \ingroup wire
/// \brief Closes the connection; `on_closed` is called unless it was closed already.
void close(connection& which, base::error const& why);

/// \ingroup wire
/// \brief A wall-clock time received from the peer, on this process's monotonic clock.
[[nodiscard]] base::mono_time to_local(connection const& from, base::wall_time theirs);

/// \ingroup wire
/// \brief A point on this process's monotonic clock as a wall-clock time for the wire.
[[nodiscard]] base::wall_time to_wall(base::mono_time local);

/// \ingroup wire
/// \brief Opens a connection.
/// \param address `IP:port`.
/// \param done receives the socket or the error, in the loop.
void connect_to(std::string_view address,
                std::function<void(base::result<base::object_ptr<GSocket>>)> done);

} // namespace gooseberrywood::wire

#endif
