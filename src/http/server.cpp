#include "http/server.hpp"

#include "base/log.hpp"
#include "http/error_response.hpp"
#include "http/limits.hpp"
#include "http/watched_input.hpp"

#include <fmt/format.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace gooseberrywood::http
{

namespace
{

void reject_large_body(SoupServerMessage* message)
{
    base::error const error{
        base::result_code::request_too_large,
        fmt::format("the request body exceeds the limit of {} bytes", max_body_bytes)};
    auto const body = error_json(error);
    soup_server_message_set_status(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                     body.size());
    // The rest of the body is not read, so the connection can't be reused.
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                                 "close");
}

bool is_body_too_large(SoupServerMessage* message)
{
    auto* const headers = soup_server_message_get_request_headers(message);
    return soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH &&
           static_cast<std::size_t>(soup_message_headers_get_content_length(headers)) >
               max_body_bytes;
}

open_connection* connection_of(server& owner, SoupServerMessage* message)
{
    auto const it = owner.connections->find(socket_of(message));
    return it != owner.connections->end() ? &it->second : nullptr;
}

void mark_in_use(server& owner, SoupServerMessage* message, bool is_in_use)
{
    if (auto* const connection = connection_of(owner, message))
    {
        connection->is_in_use = is_in_use;
    }
}

void mark_being_answered(server& owner, SoupServerMessage* message, bool is_being_answered)
{
    if (auto* const connection = connection_of(owner, message))
    {
        connection->is_being_answered = is_being_answered;
    }
}

void on_got_headers(SoupServerMessage* message, gpointer data)
{
    mark_in_use(*static_cast<server*>(data), message, true);
    if (is_body_too_large(message))
    {
        reject_large_body(message);
    }
}

// Enforces the size limit for bodies without an announced length.
void on_got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer)
{
    auto* const object = G_OBJECT(message);
    auto const before = GPOINTER_TO_SIZE(g_object_get_data(object, "received-bytes"));
    auto const total = before + g_bytes_get_size(chunk);
    g_object_set_data(object, "received-bytes", GSIZE_TO_POINTER(total));
    if (total > max_body_bytes)
    {
        if (auto* const socket = socket_of(message))
        {
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        }
    }
}

void on_request_ended(SoupServerMessage* message, gpointer data)
{
    auto& owner = *static_cast<server*>(data);
    mark_in_use(owner, message, false);
    mark_being_answered(owner, message, false);
}

void on_request_started(SoupServer*, SoupServerMessage* message, gpointer data)
{
    g_signal_connect(message, "got-headers", G_CALLBACK(on_got_headers), data);
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_got_chunk), nullptr);
    g_signal_connect(message, "finished", G_CALLBACK(on_request_ended), data);
}

void on_wrote_data(SoupServerMessage*, guint size, gpointer data)
{
    auto& request = *static_cast<exchange*>(data);
    request.queued_response_bytes -= std::min<std::size_t>(request.queued_response_bytes, size);
}

void on_finished(SoupServerMessage*, gpointer data)
{
    auto const request = static_cast<exchange*>(data)->shared_from_this();
    bool const complete = request->answered;
    request->finished = true;
    request->disconnected = true;
    if (!complete && request->on_disconnected)
    {
        // Moved out, since the handler usually releases the exchange.
        auto const handler = std::move(request->on_disconnected);
        handler();
    }
}

// Connected separately from `on_finished`, because an exchange may be destroyed before its response
// is written.
void count_finished_response(SoupServerMessage*, gpointer data)
{
    --static_cast<server*>(data)->open_responses;
}

void handle_request(SoupServer*, SoupServerMessage* message, char const* path, GHashTable*,
                    gpointer data)
{
    auto& owner = *static_cast<server*>(data);
    if (soup_server_message_get_status(message) != 0)
    {
        return;
    }
    if (socket_of(message) == nullptr)
    {
        // Arrived through the listener of `enable_keep_alive`, which bypasses the limits of this
        // server.
        soup_server_message_set_status(message, SOUP_STATUS_FORBIDDEN, nullptr);
        return;
    }
    auto const made = std::make_shared<exchange>();
    made->message = base::share(message);
    made->closes_connection = owner.is_closing;
    made->method = soup_server_message_get_method(message);
    made->path = path != nullptr ? path : "/";
    char const* const query = g_uri_get_query(soup_server_message_get_uri(message));
    made->query = query != nullptr ? fmt::format("?{}", query) : std::string{};
    auto* const body = soup_server_message_get_request_body(message);
    made->body = {body->data != nullptr ? body->data : "", static_cast<std::size_t>(body->length)};
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_wrote_data), made.get());
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), made.get());
    g_signal_connect(message, "finished", G_CALLBACK(count_finished_response), &owner);
    ++owner.open_responses;
    mark_being_answered(owner, message, true);
    soup_server_message_pause(message);
    owner.handle(made);
}

/// Names a connection to the handler of its end. The server may be gone by then.
struct connection_end
{
    std::weak_ptr<connection_map> connections;
    GSocket* socket = nullptr;
};

void forget_connection(gpointer data, GObject*)
{
    std::unique_ptr<connection_end> const ended(static_cast<connection_end*>(data));
    if (auto const connections = ended->connections.lock())
    {
        connections->erase(ended->socket);
    }
}

bool has_unread_bytes(GSocket* socket)
{
    char byte = 0;
    return recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Answers a request that is not HTTP/1.1 before its connection is closed. libsoup closes it
/// without an answer.
void reject_malformed_request(GSocket* socket, char const* reason)
{
    base::log_line(base::log_level::info, "malformed_request", {{"reason", reason}});
    auto const body = error_json({base::result_code::bad_request, reason});
    auto const response =
        fmt::format("HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
                    "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                    body.size(), body);
    (void)send(g_socket_get_fd(socket), response.data(), response.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
}

void accept_connection(server& owner, base::object_ptr<GSocket> socket)
{
    if (owner.connections->size() >= max_connections)
    {
        return;
    }
    g_socket_set_timeout(socket.get(), idle_timeout_s);
    // libsoup writes the headers and the body of a response separately. With Nagle's algorithm, the
    // body would wait for the caller's delayed acknowledgment, 40 ms, on each kept-alive
    // connection.
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    base::object_ptr<GSocketAddress> const local(g_socket_get_local_address(socket.get(), nullptr));
    base::object_ptr<GSocketAddress> const remote(
        g_socket_get_remote_address(socket.get(), nullptr));
    if (!local || !remote)
    {
        // The peer reset the connection before it was accepted.
        base::log_line(base::log_level::info, "connection_reset_before_accept", {});
        return;
    }
    g_object_set_data_full(G_OBJECT(remote.get()), socket_data_name, g_object_ref(socket.get()),
                           g_object_unref);
    base::object_ptr<GSocketConnection> const stream(
        g_socket_connection_factory_create_connection(socket.get()));
    // libsoup reads a request that has arrived before it returns.
    auto* const key = socket.get();
    (*owner.connections)[key].socket = std::move(socket);
    auto ended = std::make_unique<connection_end>(connection_end{owner.connections, key});
    g_object_weak_ref(G_OBJECT(stream.get()), forget_connection, ended.release());
    auto const watched = make_watched_connection(G_IO_STREAM(stream.get()), message_kind::requests,
                                                 [key](char const* reason)
                                                 { reject_malformed_request(key, reason); });
    soup_server_accept_iostream(owner.soup.get(), watched.get(), local.get(), remote.get(),
                                nullptr);
}

// Opens a listener on the loopback interface to make libsoup keep connections alive. libsoup
// considers a server without a listener to be shutting down, and closes each connection after one
// response without announcing it. This server accepts connections itself to enforce its limits, so
// requests that arrive through the loopback listener are rejected. A Unix socket is not used,
// because not every supported host provides them.
base::result<void> enable_keep_alive(SoupServer* soup)
{
    GError* failure = nullptr;
    if (soup_server_listen_local(soup, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, &failure) == FALSE)
    {
        base::glib_error_ptr const owned(failure);
        return base::fail(base::result_code::io_error, failure->message);
    }
    return {};
}

} // namespace

server::~server()
{
    if (soup)
    {
        g_signal_handlers_disconnect_by_data(soup.get(), this);
        soup_server_disconnect(soup.get());
    }
}

base::result<std::unique_ptr<server>>
serve(std::string_view address, std::function<void(std::shared_ptr<exchange> const&)> handle)
{
    auto made = std::make_unique<server>();
    made->handle = std::move(handle);
    made->soup.reset(
        SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, "server-header", "gooseberrywood", nullptr)));
    g_signal_connect(made->soup.get(), "request-started", G_CALLBACK(on_request_started),
                     made.get());
    soup_server_add_handler(made->soup.get(), nullptr, handle_request, made.get(), nullptr);
    if (auto const enabled = enable_keep_alive(made->soup.get()); !enabled)
    {
        return tl::unexpected(enabled.error());
    }
    auto listening = wire::listen(address, [owner = made.get()](base::object_ptr<GSocket> socket)
                                  { accept_connection(*owner, std::move(socket)); });
    if (!listening)
    {
        return tl::unexpected(listening.error());
    }
    made->listening = std::move(*listening);
    return made;
}

void stop_listening(server& stopped)
{
    stopped.listening.reset();
}

void announce_close(server& closing)
{
    *closing.is_closing = true;
}

void close_idle_connections(server& closing)
{
    for (auto const& [key, connection] : *closing.connections)
    {
        if (!connection.is_in_use && !has_unread_bytes(key))
        {
            // libsoup reads the end of the connection and closes it.
            g_socket_shutdown(key, TRUE, TRUE, nullptr);
        }
    }
}

void close_unanswered_connections(server& closing)
{
    for (auto const& [key, connection] : *closing.connections)
    {
        if (!connection.is_being_answered)
        {
            g_socket_shutdown(key, TRUE, TRUE, nullptr);
        }
    }
}

} // namespace gooseberrywood::http
