#include "http/server.hpp"

#include "base/log.hpp"
#include "http/connection_check.hpp"
#include "http/connection_close.hpp"
#include "http/error_response.hpp"
#include "http/response_limits.hpp"
#include "http/status.hpp"
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

// Longest part of a request, or of requests that are sent ahead, that waits unread. With a delay of
// 3 ms each way, a client can still send 5 MB a second.
constexpr int receive_buffer_bytes = 32 * 1024;

// The load balancer sends new connections elsewhere by then.
constexpr base::duration retry_after_stop = std::chrono::milliseconds(50);

open_connection* connection_of(server& owner, SoupServerMessage* message)
{
    return find_connection(*owner.connections, socket_of(message));
}

bool waits_for_continue(SoupServerMessage* message)
{
    auto* const headers = soup_server_message_get_request_headers(message);
    return (soup_message_headers_get_expectations(headers) & SOUP_EXPECTATION_CONTINUE) != 0;
}

/// Answers instead of asking for the body, as libsoup does if the answer is set with the head.
void reject_expectation(SoupServerMessage* message, rejection const& answer)
{
    auto const body = error_json(answer.error);
    soup_server_message_set_status(message, answer.status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                     body.size());
    auto* const headers = soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "Connection", "close");
    if (answer.retry_after > base::duration{})
    {
        auto const seconds = std::chrono::duration<double>(answer.retry_after).count();
        soup_message_headers_replace(headers, "Retry-After",
                                     fmt::format("{:.3f}", seconds).c_str());
    }
}

void reject_head(server& owner, SoupServerMessage* message, open_connection& connection,
                 rejection const& answer)
{
    if (!waits_for_continue(message))
    {
        reject_request(*owner.connections, connection, answer, base::mono_now());
        return;
    }
    begin_rejection(*owner.connections, connection, answer, base::mono_now());
    reject_expectation(message, answer);
}

/// Asks whether the request may have a body that is not short.
/// \returns an answer if it may not.
std::optional<rejection> admit(server& owner, SoupServerMessage* message,
                               open_connection& connection)
{
    if (connection.is_admitted || !owner.admit)
    {
        return std::nullopt;
    }
    connection.is_admitted = true;
    return owner.admit(message);
}

/// Length of the body as the head tells it; 0 if it does not.
std::size_t announced_length(SoupServerMessage* message)
{
    auto* const headers = soup_server_message_get_request_headers(message);
    return soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH
               ? static_cast<std::size_t>(soup_message_headers_get_content_length(headers))
               : 0;
}

/// \returns an answer if the request can be rejected by its head.
std::optional<rejection> check_head(server& owner, SoupServerMessage* message,
                                    open_connection& connection)
{
    auto& table = *owner.connections;
    if (!reserve_head(table, connection, base::mono_now()))
    {
        return no_room_for_request();
    }
    auto const length = announced_length(message);
    if (length > max_body(table))
    {
        return reject_large_body(table);
    }
    return length > short_request_bytes ? admit(owner, message, connection) : std::nullopt;
}

void on_got_headers(SoupServerMessage* message, gpointer data)
{
    auto& owner = *static_cast<server*>(data);
    // The chunks are joined by this server. libsoup would keep each as an object of its own.
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    auto* const connection = connection_of(owner, message);
    if (connection == nullptr || !serves_requests(*connection))
    {
        return;
    }
    connection->is_in_use = true;
    connection->progress_at = base::mono_now();
    note_activity(*owner.connections, *connection, connection->progress_at);
    if (auto const answer = check_head(owner, message, *connection))
    {
        reject_head(owner, message, *connection, *answer);
    }
}

void on_got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data)
{
    auto& owner = *static_cast<server*>(data);
    auto* const connection = connection_of(owner, message);
    if (connection == nullptr || !serves_requests(*connection))
    {
        return;
    }
    gsize size = 0;
    auto const* const bytes = static_cast<char const*>(g_bytes_get_data(chunk, &size));
    auto const length = (connection->body ? connection->body->len : 0) + size;
    auto const answer =
        length > short_request_bytes ? admit(owner, message, *connection) : std::nullopt;
    if (answer)
    {
        reject_request(*owner.connections, *connection, *answer, base::mono_now());
        return;
    }
    receive_body(*owner.connections, *connection, {bytes, size}, base::mono_now());
}

void on_wrote_response(SoupServerMessage* message, guint size, gpointer data)
{
    auto& owner = *static_cast<server*>(data);
    if (auto* const connection = connection_of(owner, message))
    {
        note_written(*owner.connections, *connection, size, base::mono_now());
    }
}

void on_request_ended(SoupServerMessage* message, gpointer data)
{
    auto& owner = *static_cast<server*>(data);
    if (auto* const connection = connection_of(owner, message))
    {
        end_request(*owner.connections, *connection, base::mono_now());
    }
}

void on_request_started(SoupServer*, SoupServerMessage* message, gpointer data)
{
    g_signal_connect(message, "got-headers", G_CALLBACK(on_got_headers), data);
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_got_chunk), data);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_wrote_response), data);
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
    auto* const connection = connection_of(owner, message);
    if (connection == nullptr || !serves_requests(*connection))
    {
        // The request was rejected, or its connection closed; the rest of it was read in one piece
        // with its begin.
        soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, nullptr);
        return;
    }
    auto const made = std::make_shared<exchange>();
    made->message = base::share(message);
    made->connections = owner.connections;
    made->closes_connection = owner.is_closing;
    made->method = soup_server_message_get_method(message);
    made->path = path != nullptr ? path : "/";
    char const* const query = g_uri_get_query(soup_server_message_get_uri(message));
    made->query = query != nullptr ? fmt::format("?{}", query) : std::string{};
    made->body_bytes = take_body(*connection);
    made->body = view_of(made->body_bytes);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_wrote_data), made.get());
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), made.get());
    g_signal_connect(message, "finished", G_CALLBACK(count_finished_response), &owner);
    ++owner.open_responses;
    connection->is_being_answered = true;
    soup_server_message_pause(message);
    owner.handle(made);
}

/// Names a connection to the handler of its end. The server may be gone by then.
struct connection_end
{
    std::weak_ptr<connection_table> connections;
    GSocket* socket = nullptr;
};

rejection refuse_at_stop()
{
    return {status::unavailable,
            {base::result_code::shutting_down, "the process stops before the request has arrived"},
            retry_after_stop};
}

void forget_connection(gpointer data, GObject*)
{
    std::unique_ptr<connection_end> const ended(static_cast<connection_end*>(data));
    if (auto const connections = ended->connections.lock())
    {
        remove_connection(*connections, ended->socket);
    }
}

/// Answers a request that is not HTTP/1.1, or whose head is too large. libsoup would close the
/// connection without an answer.
void reject_malformed_request(connection_table& table, GSocket* socket, framing_fault const& fault)
{
    auto* const connection = find_connection(table, socket);
    if (connection == nullptr || !serves_requests(*connection))
    {
        return;
    }
    bool const is_large = fault.kind == fault_kind::too_large;
    reject_request(
        table, *connection,
        {is_large ? status::head_too_large : status::bad_request,
         {is_large ? base::result_code::request_too_large : base::result_code::bad_request,
          fault.reason}},
        base::mono_now());
}

void accept_connection(server& owner, base::object_ptr<GSocket> socket)
{
    // libsoup writes the headers and the body of a response separately. With Nagle's algorithm, the
    // body would wait for the caller's delayed acknowledgment, 40 ms, on each kept-alive
    // connection.
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    base::object_ptr<GSocketAddress> const local(g_socket_get_local_address(socket.get(), nullptr));
    base::object_ptr<GSocketAddress> remote(g_socket_get_remote_address(socket.get(), nullptr));
    if (!local || !remote)
    {
        // The peer reset the connection before it was accepted.
        base::log_line(base::log_level::info, "connection_reset_before_accept", {});
        return;
    }
    auto* const key = socket.get();
    auto* const added = add_connection(*owner.connections, std::move(socket), base::mono_now());
    if (added == nullptr)
    {
        base::log_line(base::log_level::info, "connection_not_accepted", {});
        return;
    }
    attach_socket(remote.get(), key);
    added->remote = base::share(remote.get());
    base::object_ptr<GSocketConnection> const stream(
        g_socket_connection_factory_create_connection(key));
    auto ended = std::make_unique<connection_end>(connection_end{owner.connections, key});
    g_object_weak_ref(G_OBJECT(stream.get()), forget_connection, ended.release());
    auto const watched =
        make_watched_connection(G_IO_STREAM(stream.get()), message_kind::requests,
                                [table = owner.connections.get(), key](framing_fault const& fault)
                                { reject_malformed_request(*table, key, fault); });
    added->input = find_framing(g_io_stream_get_input_stream(watched.get()));
    added->input->max_head_bytes = owner.connections->limits.max_head_bytes;
    // libsoup reads a request that has arrived before it returns.
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
serve(std::string_view address, std::function<void(std::shared_ptr<exchange> const&)> handle,
      server_options options)
{
    auto made = std::make_unique<server>();
    made->handle = std::move(handle);
    made->admit = std::move(options.admit);
    made->connections->budgets = options.budgets.process
                                     ? std::move(options.budgets)
                                     : make_memory_budgets(default_memory_bytes);
    set_limits(*made->connections, options.limits);
    made->connection_check = base::every(options.check_interval, [table = made->connections.get()]
                                         { check_connections(*table, base::mono_now()); });
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
    // What waits unread in sockets is memory, too. Connections take the size over with their first
    // packet, so that it would be late to set it after they were accepted.
    g_socket_set_option(made->listening->socket.get(), SOL_SOCKET, SO_RCVBUF, receive_buffer_bytes,
                        nullptr);
    return made;
}

void shed_when_full(server& shedding)
{
    shedding.connections->budgets.process->reclaim =
        [weak = std::weak_ptr<connection_table>(shedding.connections)]
    {
        auto const table = weak.lock();
        return table && shed_stalled(*table, nullptr, "no memory for a response", base::mono_now());
    };
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
    for (auto& [key, connection] : closing.connections->open)
    {
        if (!connection.is_closed && is_between_requests(connection))
        {
            close_connection(connection, close_reason::stopping);
        }
    }
}

void close_unanswered_connections(server& closing)
{
    for (auto& [key, connection] : closing.connections->open)
    {
        // A rejected request has its answer, and its client some time to read it.
        if (!serves_requests(connection) || connection.is_being_answered ||
            must_be_read_first(connection))
        {
            continue;
        }
        if (!is_between_requests(connection))
        {
            reject_request(*closing.connections, connection, refuse_at_stop(), base::mono_now());
            continue;
        }
        close_connection(connection, close_reason::grace_over);
    }
}

} // namespace gooseberrywood::http
