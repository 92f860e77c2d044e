#include "http/exchange.hpp"

#include "base/log.hpp"
#include "http/connection_close.hpp"
#include "http/error_response.hpp"
#include "http/header_list.hpp"
#include "http/limits.hpp"
#include "http/status.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

void announce_close_if_due(exchange const& request)
{
    if (request.closes_connection && *request.closes_connection)
    {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(request.message.get()), "Connection", "close");
    }
}

void set_headers(exchange& request, std::uint16_t status, std::string_view content_type,
                 std::span<header const> headers)
{
    auto* const message = request.message.get();
    soup_server_message_set_status(message, status, nullptr);
    auto* const response_headers = soup_server_message_get_response_headers(message);
    soup_message_headers_set_content_type(response_headers, std::string(content_type).c_str(),
                                          nullptr);
    for (auto const& [name, value] : headers)
    {
        soup_message_headers_replace(response_headers, name.c_str(), value.c_str());
    }
    announce_close_if_due(request);
}

void release_owner(gpointer owner)
{
    delete static_cast<std::shared_ptr<void const>*>(owner);
}

SoupMessageBody* response_body(exchange& request)
{
    return soup_server_message_get_response_body(request.message.get());
}

open_connection* connection_of(exchange const& request)
{
    return request.connections
               ? find_connection(*request.connections, socket_of(request.message.get()))
               : nullptr;
}

void release_request_body(exchange& request)
{
    request.body = {};
    request.body_bytes.reset();
    if (auto* const connection = connection_of(request))
    {
        release_body(*request.connections, *connection);
    }
}

/// Records that a response is due on the connection, so that nothing else is sent on it.
void note_response_begun(exchange const& request)
{
    if (auto* const connection = connection_of(request))
    {
        connection->is_response_begun = true;
    }
}

/// Queues a part of the response.
/// \param counted whether the connection must hold memory for it.
/// \returns false if there is no memory for it.
bool queue(exchange const& request, std::size_t bytes, bool counted)
{
    auto* const connection = connection_of(request);
    return connection == nullptr ||
           queue_response(*request.connections, *connection, bytes, counted, base::mono_now());
}

/// Ends a request by closing its connection. libsoup notices that when it writes, so there must be
/// something to write. Without the last, empty chunk, the caller's HTTP library reports an
/// incomplete body.
void abort_response(exchange& request)
{
    auto* const message = request.message.get();
    if (auto* const connection = connection_of(request))
    {
        close_connection(*connection, close_reason::given_up);
    }
    if (soup_server_message_get_status(message) == SOUP_STATUS_NONE)
    {
        soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    }
    auto* const body = response_body(request);
    soup_message_body_append(body, SOUP_MEMORY_STATIC, "\n", 1);
    soup_message_body_complete(body);
    soup_server_message_unpause(message);
}

/// Answers with an error where there is no memory for the response. The request may have run.
void drop_response(exchange& request, std::uint16_t status, std::size_t bytes)
{
    base::log_line(base::log_level::info, "response_dropped",
                   {{"status", std::int64_t{status}}, {"bytes", static_cast<std::int64_t>(bytes)}});
    note_response_begun(request);
    auto const error =
        error_json({base::result_code::outcome_unknown, "there is no memory for the response now"});
    set_headers(request, status::bad_gateway, "application/json", {});
    soup_message_body_append(response_body(request), SOUP_MEMORY_COPY, error.data(), error.size());
    soup_message_body_complete(response_body(request));
    soup_server_message_unpause(request.message.get());
}

} // namespace

exchange::~exchange()
{
    if (!message)
    {
        return;
    }
    g_signal_handlers_disconnect_by_data(message.get(), this);
    if (answered || finished)
    {
        return;
    }
    if (streaming || disconnected)
    {
        abort_response(*this);
        return;
    }
    note_response_begun(*this);
    soup_server_message_set_status(message.get(), SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    announce_close_if_due(*this);
    soup_server_message_unpause(message.get());
}

GSocket* socket_of(SoupServerMessage* message)
{
    auto* const remote = soup_server_message_get_remote_address(message);
    return remote != nullptr
               ? static_cast<GSocket*>(g_object_get_data(G_OBJECT(remote), socket_data_name))
               : nullptr;
}

std::optional<std::string_view> request_header(exchange const& request, char const* name)
{
    char const* const value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(request.message.get()), name);
    return value != nullptr ? std::optional<std::string_view>(value) : std::nullopt;
}

std::vector<header> request_headers(exchange const& request)
{
    return header_list(soup_server_message_get_request_headers(request.message.get()));
}

std::string request_target(exchange const& request)
{
    GUri* const uri = soup_server_message_get_uri(request.message.get());
    std::string target = g_uri_get_path(uri);
    if (char const* const query = g_uri_get_query(uri))
    {
        target.append("?").append(query);
    }
    return target;
}

void respond(exchange& request, std::uint16_t status, std::string_view content_type,
             std::string_view body, std::span<header const> headers)
{
    auto const copy = std::make_shared<std::string const>(body);
    respond(request, status, content_type, copy, *copy, headers, {});
}

void respond(exchange& request, std::uint16_t status, std::string_view content_type,
             std::shared_ptr<void const> owner, std::string_view body,
             std::span<header const> headers, std::weak_ptr<base::byte_share> share)
{
    if (request.answered || request.disconnected)
    {
        return;
    }
    if (request.streaming)
    {
        abort_stream(request);
        return;
    }
    request.answered = true;
    release_request_body(request);
    bool const is_counted = share.expired();
    if (!queue(request, body.size(), is_counted))
    {
        drop_response(request, status, body.size());
        return;
    }
    if (auto* const connection = connection_of(request))
    {
        connection->response_share = std::move(share);
    }
    set_headers(request, status, content_type, headers);
    auto* const bytes = g_bytes_new_with_free_func(
        body.data(), body.size(), release_owner, new std::shared_ptr<void const>(std::move(owner)));
    soup_message_body_append_bytes(response_body(request), bytes);
    g_bytes_unref(bytes);
    soup_message_body_complete(response_body(request));
    soup_server_message_unpause(request.message.get());
}

bool reserve_memory(exchange& request, std::size_t bytes)
{
    auto* const connection = connection_of(request);
    return connection == nullptr ||
           reserve_for(*request.connections, *connection, bytes, base::mono_now());
}

void begin_stream(exchange& request, std::uint16_t status, std::string_view content_type,
                  std::span<header const> headers)
{
    if (request.answered || request.disconnected)
    {
        return;
    }
    request.streaming = true;
    note_response_begun(request);
    set_headers(request, status, content_type, headers);
    soup_message_headers_set_encoding(
        soup_server_message_get_response_headers(request.message.get()), SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(response_body(request), FALSE);
    soup_server_message_unpause(request.message.get());
}

bool append_stream(exchange& request, std::string_view bytes)
{
    if (request.disconnected ||
        request.queued_response_bytes + bytes.size() > max_queued_response_bytes ||
        !queue(request, bytes.size(), true))
    {
        return false;
    }
    request.queued_response_bytes += bytes.size();
    soup_message_body_append(response_body(request), SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    soup_server_message_unpause(request.message.get());
    return true;
}

void end_stream(exchange& request)
{
    if (request.answered || request.disconnected)
    {
        return;
    }
    request.answered = true;
    soup_message_body_complete(response_body(request));
    soup_server_message_unpause(request.message.get());
}

void abort_stream(exchange& request)
{
    if (request.answered || request.disconnected)
    {
        return;
    }
    request.answered = true;
    abort_response(request);
}

bool is_caller_disconnected(exchange const& request)
{
    auto* const socket = socket_of(request.message.get());
    if (socket == nullptr)
    {
        return true;
    }
    auto const descriptor = g_socket_get_fd(socket);
    char byte = 0;
    auto const count = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
    {
        // Requests that were sent ahead hide the end of the connection.
        pollfd ended{descriptor, POLLRDHUP, 0};
        return poll(&ended, 1, 0) == 1;
    }
    return count == 0 || (errno != EAGAIN && errno != EINTR);
}

} // namespace gooseberrywood::http
