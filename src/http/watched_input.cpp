#include "http/watched_input.hpp"

#include <cstddef>
#include <optional>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

struct watched_input
{
    GFilterInputStream parent;
    /// Owned; GObject instances have no constructors.
    std::shared_ptr<message_framing>* framing;
    std::function<void(framing_fault const&)>* on_malformed;
    /// The connection that ends when this stream is closed, or nullptr.
    GIOStream* connection;
    /// A body was being read at the last read.
    bool is_in_body;
    /// The end of the connection was shown as the begin of a head.
    bool has_shown_end;
};

struct watched_input_class
{
    GFilterInputStreamClass parent;
};

// Bounds the reads of one event, so that a client that sends without end can't starve the others.
constexpr int max_discarded_reads = 16;

gpointer parent_class = nullptr;

GType watched_input_type();

watched_input* as_watched(gpointer stream)
{
    return G_TYPE_CHECK_INSTANCE_TYPE(stream, watched_input_type()) != 0
               ? static_cast<watched_input*>(stream)
               : nullptr;
}

GInputStream* base_of(gpointer stream)
{
    return g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(stream));
}

/// \returns false and a failure if what was received can't be used.
bool is_usable(watched_input const& stream, GError** failure)
{
    auto const& fault = (*stream.framing)->fault;
    if (fault.reason == nullptr)
    {
        return true;
    }
    if (auto const report = std::exchange(*stream.on_malformed, nullptr);
        report && fault.kind != fault_kind::cut)
    {
        report(fault);
    }
    g_set_error_literal(failure, G_IO_ERROR, to_error(fault.kind), fault.reason);
    return false;
}

/// Shows the end of a connection, or a failure of it, as an end within a head. libsoup 3.2.3 keeps
/// a connection with its descriptor for good if it ends, or fails, before the next request has
/// begun.
gssize show_end(watched_input& stream, void* buffer, GError** failure)
{
    g_clear_error(failure);
    if (std::exchange(stream.has_shown_end, true))
    {
        return 0;
    }
    if (stream.connection != nullptr && G_IS_SOCKET_CONNECTION(stream.connection))
    {
        // libsoup must not answer what looks like an unfinished request.
        g_socket_shutdown(g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream.connection)),
                          TRUE, TRUE, nullptr);
    }
    *static_cast<char*>(buffer) = 'G';
    return 1;
}

bool would_block(gssize count, GError** failure)
{
    return count < 0 && failure != nullptr &&
           g_error_matches(*failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0;
}

/// Checks received bytes, or the end of the connection.
/// \returns as `check_read`.
std::optional<gssize> check_bytes(watched_input const& watched, void* buffer, gssize count,
                                  GError** failure)
{
    auto& framing = **watched.framing;
    if (count < 0)
    {
        return count;
    }
    if (count == 0)
    {
        check_end(framing);
        return is_usable(watched, failure) ? 0 : -1;
    }
    if (framing.discards)
    {
        return std::nullopt;
    }
    auto const kept =
        check_received(framing, {static_cast<char*>(buffer), static_cast<std::size_t>(count)});
    if (is_usable(watched, failure))
    {
        return kept > 0 ? std::optional(static_cast<gssize>(kept)) : std::nullopt;
    }
    // What was rejected is read on, so that the client can read the answer.
    if (framing.discards)
    {
        g_clear_error(failure);
        return std::nullopt;
    }
    return -1;
}

/// Checks the outcome of a read.
/// \returns the number of bytes to pass on, or nothing if the read has to be repeated.
std::optional<gssize> check_read(gpointer stream, void* buffer, gssize count, GError** failure)
{
    auto& watched = *as_watched(stream);
    auto const& framing = **watched.framing;
    if (would_block(count, failure))
    {
        return count;
    }
    if (framing.part != message_part::broken)
    {
        watched.is_in_body = framing.part == message_part::body;
    }
    auto const checked = check_bytes(watched, buffer, count, failure);
    bool const is_over = checked && *checked <= 0;
    return is_over && framing.kind == message_kind::requests && !watched.is_in_body
               ? show_end(watched, buffer, failure)
               : checked;
}

gssize read_watched(GInputStream* stream, void* buffer, gsize size, GCancellable* cancellable,
                    GError** failure)
{
    for (;;)
    {
        auto const count = g_input_stream_read(base_of(stream), buffer, size, cancellable, failure);
        if (auto const checked = check_read(stream, buffer, count, failure))
        {
            return *checked;
        }
    }
}

gssize read_nonblocking(GPollableInputStream* stream, void* buffer, gsize size, GError** failure)
{
    for (int reads = 0; reads < max_discarded_reads; ++reads)
    {
        auto const count = g_pollable_input_stream_read_nonblocking(
            G_POLLABLE_INPUT_STREAM(base_of(stream)), buffer, size, nullptr, failure);
        if (auto const checked = check_read(stream, buffer, count, failure))
        {
            return *checked;
        }
    }
    g_set_error_literal(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "the input is discarded");
    return -1;
}

gboolean is_readable(GPollableInputStream* stream)
{
    return g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(base_of(stream)));
}

GSource* create_source(GPollableInputStream* stream, GCancellable* cancellable)
{
    GSource* const inner = g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(base_of(stream)), cancellable);
    GSource* const outer = g_pollable_source_new_full(stream, inner, nullptr);
    g_source_unref(inner);
    return outer;
}

/// Closes the connection. Closing its streams alone would leave it open.
gboolean close_watched(GInputStream* stream, GCancellable* cancellable, GError** failure)
{
    bool const is_closed =
        G_INPUT_STREAM_CLASS(parent_class)->close_fn(stream, cancellable, failure) != 0;
    auto* const connection = as_watched(stream)->connection;
    return is_closed &&
           (connection == nullptr || g_io_stream_close(connection, cancellable, failure) != 0);
}

void finalize(GObject* object)
{
    delete as_watched(object)->framing;
    delete as_watched(object)->on_malformed;
    g_clear_object(&as_watched(object)->connection);
    G_OBJECT_CLASS(parent_class)->finalize(object);
}

void init_class(gpointer made, gpointer)
{
    parent_class = g_type_class_peek_parent(made);
    G_OBJECT_CLASS(made)->finalize = finalize;
    G_INPUT_STREAM_CLASS(made)->read_fn = read_watched;
    G_INPUT_STREAM_CLASS(made)->close_fn = close_watched;
}

void init_instance(GTypeInstance* made, gpointer)
{
    auto* const watched = reinterpret_cast<watched_input*>(made);
    watched->framing = new std::shared_ptr<message_framing>(std::make_shared<message_framing>());
    watched->on_malformed = new std::function<void(framing_fault const&)>();
}

void init_pollable(gpointer made, gpointer)
{
    auto* const pollable = static_cast<GPollableInputStreamInterface*>(made);
    pollable->is_readable = is_readable;
    pollable->create_source = create_source;
    pollable->read_nonblocking = read_nonblocking;
}

GType register_type()
{
    auto const type = g_type_register_static_simple(
        G_TYPE_FILTER_INPUT_STREAM, "GooseberrywoodWatchedInput", sizeof(watched_input_class),
        init_class, sizeof(watched_input), init_instance, GTypeFlags{});
    GInterfaceInfo const pollable{init_pollable, nullptr, nullptr};
    g_type_add_interface_static(type, G_TYPE_POLLABLE_INPUT_STREAM, &pollable);
    return type;
}

GType watched_input_type()
{
    static GType const type = register_type();
    return type;
}

} // namespace

GIOErrorEnum to_error(fault_kind kind)
{
    switch (kind)
    {
    case fault_kind::cut:
        return G_IO_ERROR_PARTIAL_INPUT;
    case fault_kind::too_large:
        return G_IO_ERROR_MESSAGE_TOO_LARGE;
    case fault_kind::malformed:
        break;
    }
    return G_IO_ERROR_INVALID_DATA;
}

base::object_ptr<GInputStream>
make_watched_input(GInputStream* socket_input, message_kind kind,
                   std::function<void(framing_fault const&)> on_malformed)
{
    base::object_ptr<GInputStream> made(
        G_INPUT_STREAM(g_object_new(watched_input_type(), "base-stream", socket_input, nullptr)));
    auto const& watched = *as_watched(made.get());
    *watched.on_malformed = std::move(on_malformed);
    if (kind == message_kind::requests)
    {
        expect_requests(**watched.framing);
    }
    return made;
}

base::object_ptr<GIOStream>
make_watched_connection(GIOStream* connection, message_kind kind,
                        std::function<void(framing_fault const&)> on_malformed)
{
    auto const input =
        make_watched_input(g_io_stream_get_input_stream(connection), kind, std::move(on_malformed));
    as_watched(input.get())->connection = base::share(connection).release();
    return base::object_ptr<GIOStream>(
        g_simple_io_stream_new(input.get(), g_io_stream_get_output_stream(connection)));
}

std::shared_ptr<message_framing> find_framing(GInputStream* stream)
{
    while (stream != nullptr)
    {
        if (auto const* const watched = as_watched(stream))
        {
            return *watched->framing;
        }
        stream = G_IS_FILTER_INPUT_STREAM(stream) ? base_of(stream) : nullptr;
    }
    return nullptr;
}

} // namespace gooseberrywood::http
