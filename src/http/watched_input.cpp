#include "http/watched_input.hpp"

#include <cstddef>
#include <optional>

namespace gooseberrywood::http
{

namespace
{

struct watched_input
{
    GFilterInputStream parent;
    /// Owned; GObject instances have no constructors.
    std::shared_ptr<response_framing>* framing;
};

struct watched_input_class
{
    GFilterInputStreamClass parent;
};

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

/// \returns a failure if what was received can't be used.
bool is_usable(response_framing const& framing, GError** failure)
{
    if (framing.fault.reason == nullptr)
    {
        return true;
    }
    g_set_error_literal(failure, G_IO_ERROR,
                        framing.fault.is_cut ? G_IO_ERROR_PARTIAL_INPUT : G_IO_ERROR_INVALID_DATA,
                        framing.fault.reason);
    return false;
}

/// Checks the outcome of a read.
/// \returns the number of bytes to pass on, or nothing if the read has to be repeated.
std::optional<gssize> check_read(gpointer stream, void* buffer, gssize count, GError** failure)
{
    if (count < 0)
    {
        return count;
    }
    auto& framing = **as_watched(stream)->framing;
    if (count == 0)
    {
        check_end(framing);
        return is_usable(framing, failure) ? 0 : -1;
    }
    auto const kept =
        check_received(framing, {static_cast<char*>(buffer), static_cast<std::size_t>(count)});
    if (!is_usable(framing, failure))
    {
        return -1;
    }
    return kept > 0 ? std::optional(static_cast<gssize>(kept)) : std::nullopt;
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
    for (;;)
    {
        auto const count = g_pollable_input_stream_read_nonblocking(
            G_POLLABLE_INPUT_STREAM(base_of(stream)), buffer, size, nullptr, failure);
        if (auto const checked = check_read(stream, buffer, count, failure))
        {
            return *checked;
        }
    }
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

void finalize(GObject* object)
{
    delete as_watched(object)->framing;
    G_OBJECT_CLASS(parent_class)->finalize(object);
}

void init_class(gpointer made, gpointer)
{
    parent_class = g_type_class_peek_parent(made);
    G_OBJECT_CLASS(made)->finalize = finalize;
    G_INPUT_STREAM_CLASS(made)->read_fn = read_watched;
}

void init_instance(GTypeInstance* made, gpointer)
{
    reinterpret_cast<watched_input*>(made)->framing =
        new std::shared_ptr<response_framing>(std::make_shared<response_framing>());
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

base::object_ptr<GInputStream> make_watched_input(GInputStream* socket_input)
{
    return base::object_ptr<GInputStream>(
        G_INPUT_STREAM(g_object_new(watched_input_type(), "base-stream", socket_input, nullptr)));
}

std::shared_ptr<response_framing> find_framing(GInputStream* stream)
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
