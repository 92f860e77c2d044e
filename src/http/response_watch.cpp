#include "http/response_watch.hpp"

#include "base/glib_ptr.hpp"
#include "http/watched_input.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

// libsoup makes its connections itself, and a proxy is the only place where GLib lets a program
// replace the streams of one. This proxy is the host itself.
constexpr char const* proxy_scheme = "gooseberrywood-watched";
constexpr char const* framings_name = "gooseberrywood-response-framings";
constexpr char const* framing_name = "gooseberrywood-response-framing";
constexpr char const* share_name = "gooseberrywood-response-share";

/// Framing of the open connections of a session, by the number that libsoup gives a connection.
using framing_map = std::map<guint64, std::weak_ptr<message_framing>>;

/// Wraps the streams of a connection to a host.
GIOStream* watch(GIOStream* connection)
{
    return make_watched_connection(connection, message_kind::responses).release();
}

GIOStream* connect(GProxy*, GIOStream* connection, GProxyAddress*, GCancellable*, GError**)
{
    return watch(connection);
}

void connect_async(GProxy* proxy, GIOStream* connection, GProxyAddress*, GCancellable* cancellable,
                   GAsyncReadyCallback done, gpointer data)
{
    base::object_ptr<GTask> const task(g_task_new(proxy, cancellable, done, data));
    g_task_return_pointer(task.get(), watch(connection), g_object_unref);
}

GIOStream* finish_connect(GProxy*, GAsyncResult* outcome, GError** failure)
{
    return static_cast<GIOStream*>(g_task_propagate_pointer(G_TASK(outcome), failure));
}

gboolean supports_hostname(GProxy*)
{
    return TRUE;
}

void init_proxy(gpointer made, gpointer)
{
    auto* const proxy = static_cast<GProxyInterface*>(made);
    proxy->connect = connect;
    proxy->connect_async = connect_async;
    proxy->connect_finish = finish_connect;
    proxy->supports_hostname = supports_hostname;
}

/// \returns a list of one proxy: the host of the URI.
char** list_proxies(char const* uri)
{
    std::string_view const text = uri;
    auto const host = text.substr(std::min(text.find("://"), text.size()));
    auto const proxy = std::string(proxy_scheme).append(host);
    char const* const list[] = {proxy.c_str(), nullptr};
    return g_strdupv(const_cast<char**>(list));
}

gboolean is_supported(GProxyResolver*)
{
    return TRUE;
}

char** lookup(GProxyResolver*, char const* uri, GCancellable*, GError**)
{
    return list_proxies(uri);
}

void free_list(gpointer list)
{
    g_strfreev(static_cast<char**>(list));
}

void lookup_async(GProxyResolver* resolver, char const* uri, GCancellable* cancellable,
                  GAsyncReadyCallback done, gpointer data)
{
    base::object_ptr<GTask> const task(g_task_new(resolver, cancellable, done, data));
    g_task_return_pointer(task.get(), list_proxies(uri), free_list);
}

char** finish_lookup(GProxyResolver*, GAsyncResult* outcome, GError** failure)
{
    return static_cast<char**>(g_task_propagate_pointer(G_TASK(outcome), failure));
}

void init_resolver(gpointer made, gpointer)
{
    auto* const resolver = static_cast<GProxyResolverInterface*>(made);
    resolver->is_supported = is_supported;
    resolver->lookup = lookup;
    resolver->lookup_async = lookup_async;
    resolver->lookup_finish = finish_lookup;
}

GType register_type(char const* name, GType interface, GInterfaceInitFunc init)
{
    auto const type = g_type_register_static_simple(
        G_TYPE_OBJECT, name, sizeof(GObjectClass), nullptr, sizeof(GObject), nullptr, GTypeFlags{});
    GInterfaceInfo const info{init, nullptr, nullptr};
    g_type_add_interface_static(type, interface, &info);
    return type;
}

GType register_proxy()
{
    // Registers GLib's extension point for proxies.
    auto* const none = g_proxy_get_default_for_protocol(proxy_scheme);
    g_assert(none == nullptr);
    auto const type = register_type("GooseberrywoodWatchedProxy", G_TYPE_PROXY, init_proxy);
    g_io_extension_point_implement(G_PROXY_EXTENSION_POINT_NAME, type, proxy_scheme, 0);
    return type;
}

GType resolver_type()
{
    static GType const proxy = register_proxy();
    static GType const type =
        register_type("GooseberrywoodWatchedProxyResolver", G_TYPE_PROXY_RESOLVER, init_resolver);
    return proxy != G_TYPE_INVALID ? type : G_TYPE_INVALID;
}

void free_framings(gpointer framings)
{
    delete static_cast<std::shared_ptr<framing_map>*>(framings);
}

/// Framings of a session, or of the session of a message.
std::shared_ptr<framing_map> const& framings_of(gpointer owner)
{
    auto* const framings = g_object_get_data(G_OBJECT(owner), framings_name);
    return *static_cast<std::shared_ptr<framing_map>*>(framings);
}

void set_framings(gpointer owner, std::shared_ptr<framing_map> framings)
{
    g_object_set_data_full(G_OBJECT(owner), framings_name,
                           new std::shared_ptr<framing_map>(std::move(framings)), free_framings);
}

/// \returns nullptr if the message has no connection.
std::shared_ptr<message_framing> find_connection_framing(SoupMessage* message)
{
    auto const& framings = *framings_of(message);
    auto const at = framings.find(soup_message_get_connection_id(message));
    return at != framings.end() ? at->second.lock() : nullptr;
}

void free_framing(gpointer framing)
{
    delete static_cast<std::shared_ptr<message_framing>*>(framing);
}

/// Framing of the connection on which a message is sent; nullptr before.
message_framing* framing_of(SoupMessage* message)
{
    auto* const framing = g_object_get_data(G_OBJECT(message), framing_name);
    return framing != nullptr ? static_cast<std::shared_ptr<message_framing>*>(framing)->get()
                              : nullptr;
}

using weak_share = std::weak_ptr<base::byte_share>;

void free_share(gpointer share)
{
    delete static_cast<weak_share*>(share);
}

/// Assigns a new connection to the number that its message has for it.
void on_network_event(SoupMessage* message, GSocketClientEvent, GIOStream* connection, gpointer)
{
    auto const framing =
        connection != nullptr ? find_framing(g_io_stream_get_input_stream(connection)) : nullptr;
    if (!framing)
    {
        return;
    }
    auto& framings = *framings_of(message);
    std::erase_if(framings, [](auto const& entry) { return entry.second.expired(); });
    framings[soup_message_get_connection_id(message)] = framing;
}

void on_starting(SoupMessage* message, gpointer)
{
    auto framing = find_connection_framing(message);
    if (!framing)
    {
        return;
    }
    auto const* const share = g_object_get_data(G_OBJECT(message), share_name);
    expect_response(*framing, std::string_view(soup_message_get_method(message)) == "HEAD",
                    *static_cast<weak_share const*>(share));
    g_object_set_data_full(G_OBJECT(message), framing_name,
                           new std::shared_ptr<message_framing>(std::move(framing)), free_framing);
}

SoupEncoding to_encoding(body_end end)
{
    switch (end)
    {
    case body_end::length:
        return SOUP_ENCODING_CONTENT_LENGTH;
    case body_end::chunks:
        return SOUP_ENCODING_CHUNKED;
    case body_end::connection:
        return SOUP_ENCODING_EOF;
    case body_end::no_body:
        break;
    }
    return SOUP_ENCODING_NONE;
}

bool is_read_alike(message_framing const& framing, SoupMessageHeaders* headers)
{
    if (framing.end == body_end::no_body)
    {
        return true;
    }
    bool const has_length = framing.end == body_end::length;
    return soup_message_headers_get_encoding(headers) == to_encoding(framing.end) &&
           (!has_length || static_cast<std::uint64_t>(soup_message_headers_get_content_length(
                               headers)) == framing.content_length);
}

} // namespace

void watch_connections(SoupSession* session)
{
    set_framings(session, std::make_shared<framing_map>());
    base::object_ptr<GObject> const resolver(G_OBJECT(g_object_new(resolver_type(), nullptr)));
    g_object_set(session, "proxy-resolver", resolver.get(), nullptr);
}

void watch_response(SoupSession* session, SoupMessage* message,
                    std::shared_ptr<base::byte_share> const& share)
{
    set_framings(message, framings_of(session));
    g_object_set_data_full(G_OBJECT(message), share_name, new weak_share(share), free_share);
    g_signal_connect(message, "network-event", G_CALLBACK(on_network_event), nullptr);
    g_signal_connect(message, "starting", G_CALLBACK(on_starting), nullptr);
}

char const* find_ambiguity(SoupMessage* message)
{
    auto const* const framing = framing_of(message);
    bool const has_head = framing != nullptr && (framing->part == message_part::body ||
                                                 framing->part == message_part::complete);
    if (!has_head)
    {
        return "the connection of the response was lost";
    }
    return is_read_alike(*framing, soup_message_get_response_headers(message))
               ? nullptr
               : "the length is unreadable or contradictory";
}

GError* find_fault(SoupMessage* message)
{
    auto const* const framing = framing_of(message);
    return framing != nullptr && framing->fault.reason != nullptr
               ? g_error_new_literal(G_IO_ERROR, to_error(framing->fault.kind),
                                     framing->fault.reason)
               : nullptr;
}

bool is_response_whole(SoupMessage* message)
{
    auto const* const framing = framing_of(message);
    return framing != nullptr && framing->part == message_part::complete;
}

void close_if_surplus(SoupMessage* message)
{
    auto const* const framing = framing_of(message);
    if (framing != nullptr && framing->has_surplus)
    {
        // libsoup keeps a connection unless the headers of the response say otherwise.
        soup_message_headers_replace(soup_message_get_response_headers(message), "Connection",
                                     "close");
    }
}

bool ends_with_connection(SoupMessage* message)
{
    return soup_message_headers_get_encoding(soup_message_get_response_headers(message)) ==
           SOUP_ENCODING_EOF;
}

} // namespace gooseberrywood::http
