#include "wire/connection.hpp"

#include "base/unread_bytes.hpp"
#include "wire/codec.hpp"

#include <fmt/format.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace gooseberrywood::wire
{

namespace
{

constexpr std::size_t read_bytes = 64 * 1024;

// Maximum number of consecutive reads, so that one busy peer can't starve the others.
constexpr int max_reads_per_event = 8;

bool check_hello(connection& c, frame const& received)
{
    auto const* greeting = std::get_if<hello>(&received.body);
    if (c.peer)
    {
        if (greeting != nullptr)
        {
            close(c, {base::result_code::frame_malformed,
                      "received a second hello on one connection"});
            return false;
        }
        return true;
    }
    if (greeting == nullptr)
    {
        close(c, {base::result_code::frame_malformed,
                  "expected a hello as the first frame, received another message"});
        return false;
    }
    if (greeting->protocol != protocol_version)
    {
        close(c, {base::result_code::protocol_mismatch,
                  fmt::format("protocol version mismatch: peer uses {}, this process uses {}",
                              greeting->protocol, protocol_version)});
        return false;
    }
    c.peer = *greeting;
    return true;
}

void handle_frame(connection& c, std::span<std::byte const> bytes)
{
    auto received = decode(bytes);
    if (!received)
    {
        close(c, received.error());
        return;
    }
    if (!check_hello(c, *received))
    {
        return;
    }
    c.clock_offset = base::wall_now() - received->sent_at;
    (void)update_send_times(c.times, received->sent_mono_us, received->echo_mono_us,
                            base::mono_now());
    c.handlers.on_frame(*received);
}

void handle_received(connection& c)
{
    while (!c.closed)
    {
        auto const next = next_frame(c.received);
        if (!next)
        {
            close(c, next.error());
            return;
        }
        if (!*next)
        {
            return;
        }
        handle_frame(c, **next);
    }
}

void handle_readable(connection& c)
{
    std::array<std::byte, read_bytes> buffer;
    for (int i = 0; i < max_reads_per_event && !c.closed; ++i)
    {
        GError* failure = nullptr;
        gssize const count =
            g_socket_receive(c.socket.get(), reinterpret_cast<gchar*>(buffer.data()), buffer.size(),
                             nullptr, &failure);
        if (count > 0)
        {
            c.silence_deadline = base::mono_now() + silence_limit;
            append(c.received, std::span(buffer).first(static_cast<std::size_t>(count)));
            handle_received(c);
            continue;
        }
        if (count == 0)
        {
            close(c, {base::result_code::connection_lost, "peer closed the connection"});
            return;
        }
        base::glib_error_ptr const owned(failure);
        if (g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) == 0)
        {
            close(c, {base::result_code::connection_lost, failure->message});
        }
        return;
    }
}

void write_unsent(connection& c);

gboolean on_readable(GSocket*, GIOCondition, gpointer data)
{
    auto const keep = static_cast<connection*>(data)->shared_from_this();
    handle_readable(*keep);
    return keep->closed ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

gboolean on_writable(GSocket*, GIOCondition, gpointer data)
{
    auto const keep = static_cast<connection*>(data)->shared_from_this();
    keep->writable.reset();
    write_unsent(*keep);
    return G_SOURCE_REMOVE;
}

base::event_source watch(connection& c, GIOCondition condition, GSocketSourceFunc call)
{
    GSource* const source = g_socket_create_source(c.socket.get(), condition, nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(call), &c, nullptr);
    g_source_attach(source, nullptr);
    return base::event_source(source);
}

void write_unsent(connection& c)
{
    while (!c.closed && c.unsent_offset < c.unsent.size())
    {
        GError* failure = nullptr;
        gssize const count = g_socket_send(c.socket.get(), c.unsent.data() + c.unsent_offset,
                                           c.unsent.size() - c.unsent_offset, nullptr, &failure);
        if (count >= 0)
        {
            c.unsent_offset += static_cast<std::size_t>(count);
            continue;
        }
        base::glib_error_ptr const owned(failure);
        if (g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) == 0)
        {
            close(c, {base::result_code::connection_lost, failure->message});
            return;
        }
        c.writable = watch(c, G_IO_OUT, on_writable);
        return;
    }
    c.unsent.clear();
    c.unsent_offset = 0;
}

void check_liveness(connection& c)
{
    if (base::mono_now() >= c.silence_deadline && base::unread_bytes(c.socket.get()) == 0)
    {
        close(c, {base::result_code::peer_silent, "peer sent nothing within the silence limit"});
        return;
    }
    (void)send(c, ping{});
}

} // namespace

std::shared_ptr<connection> make_connection(base::object_ptr<GSocket> socket, hello const& own,
                                            connection_handlers handlers)
{
    auto made = std::make_shared<connection>();
    made->socket = std::move(socket);
    made->handlers = std::move(handlers);
    made->silence_deadline = base::mono_now() + silence_limit;
    g_socket_set_blocking(made->socket.get(), FALSE);
    // Frames are small, and requests wait for them.
    g_socket_set_option(made->socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    made->readable = watch(*made, G_IO_IN, on_readable);
    made->liveness = base::every(ping_interval,
                                 [weak = std::weak_ptr(made)]
                                 {
                                     if (auto const c = weak.lock())
                                     {
                                         check_liveness(*c);
                                     }
                                 });
    (void)send(*made, own);
    return made;
}

namespace
{

/// Closes a connection from the main loop, since whoever sends may still use what `on_closed`
/// removes.
void close_soon(connection& c, base::error const& reason)
{
    c.overflowed = true;
    c.flush = base::soon(
        [weak = c.weak_from_this(), reason]
        {
            if (auto const keep = weak.lock())
            {
                close(*keep, reason);
            }
        });
    g_source_set_priority(c.flush.get(), G_PRIORITY_DEFAULT);
}

} // namespace

base::result<void> send(connection& target, message body)
{
    if (target.closed || target.overflowed)
    {
        return base::fail(base::result_code::connection_lost, "the connection is closed");
    }
    auto const bytes =
        encode({target.handlers.stamp(), base::wall_now(), base::micros(base::mono_now()),
                target.times.to_echo_us, std::move(body)});
    if (!bytes)
    {
        return tl::unexpected(bytes.error());
    }
    if (target.unsent.size() - target.unsent_offset + bytes->size() > max_unsent_bytes)
    {
        base::error const reason{base::result_code::connection_lost,
                                 "peer reads too slowly: the send queue is full"};
        close_soon(target, reason);
        return tl::unexpected(reason);
    }
    target.unsent += *bytes;
    if (!target.flush && !target.writable)
    {
        target.flush = base::soon(
            [weak = target.weak_from_this()]
            {
                if (auto const c = weak.lock())
                {
                    c->flush.reset();
                    write_unsent(*c);
                }
            });
        // Raised above the priority of other work, so that frames are not delayed by many events.
        g_source_set_priority(target.flush.get(), G_PRIORITY_DEFAULT);
    }
    return {};
}

void close(connection& closing, base::error const& reason)
{
    if (closing.closed)
    {
        return;
    }
    closing.closed = true;
    closing.readable.reset();
    closing.writable.reset();
    closing.flush.reset();
    closing.liveness.reset();
    g_socket_close(closing.socket.get(), nullptr);
    // Kept, so that no handler is destroyed while it runs if the owner releases the connection in
    // one.
    auto const keep = closing.weak_from_this().lock();
    closing.handlers.on_closed(reason);
}

base::mono_time to_local(connection const& source, base::wall_time peer_time)
{
    return base::mono_now() + (peer_time + source.clock_offset - base::wall_now());
}

base::wall_time to_wall(base::mono_time local)
{
    return base::wall_now() + (local - base::mono_now());
}

namespace
{

using connect_done = std::function<void(base::result<base::object_ptr<GSocket>>)>;

void on_connected(GObject* client, GAsyncResult* outcome, gpointer data)
{
    std::unique_ptr<connect_done> const done(static_cast<connect_done*>(data));
    GError* failure = nullptr;
    base::object_ptr<GSocketConnection> const made(
        g_socket_client_connect_finish(G_SOCKET_CLIENT(client), outcome, &failure));
    if (!made)
    {
        base::glib_error_ptr const owned(failure);
        (*done)(base::fail(base::result_code::connection_lost, failure->message));
        return;
    }
    // The descriptor is duplicated, because the stream closes its socket when it is destroyed. The
    // new socket also does not inherit the timeout of the client.
    int const descriptor = dup(g_socket_get_fd(g_socket_connection_get_socket(made.get())));
    base::object_ptr<GSocket> socket(g_socket_new_from_fd(descriptor, &failure));
    if (!socket)
    {
        base::glib_error_ptr const owned(failure);
        (*done)(base::fail(base::result_code::connection_lost, failure->message));
        return;
    }
    (*done)(std::move(socket));
}

} // namespace

void connect_to(std::string_view address, connect_done done)
{
    base::object_ptr<GSocketClient> const client(g_socket_client_new());
    // Within a data center, a connection attempt that takes longer is to a host that is down.
    constexpr guint connect_timeout_s = 2;
    g_socket_client_set_timeout(client.get(), connect_timeout_s);
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    g_socket_client_connect_to_host_async(client.get(), std::string(address).c_str(), 0, nullptr,
                                          on_connected, new connect_done(std::move(done)));
}

} // namespace gooseberrywood::wire
