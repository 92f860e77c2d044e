#ifndef GOOSEBERRYWOOD_TEST_STANDIN_HTTP_HPP
#define GOOSEBERRYWOOD_TEST_STANDIN_HTTP_HPP

#include "base/glib_ptr.hpp"
#include "base/result.hpp"

#include <fmt/format.h>
#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <cstdint>
#include <cstdio>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrywood::test
{

/// An HTTP server of a stand-in on the main loop.
struct http_server
{
    base::object_ptr<SoupServer> soup;
    std::function<void(SoupServerMessage*)> on_request;
};

inline std::string path_of(SoupServerMessage* message)
{
    return g_uri_get_path(soup_server_message_get_uri(message));
}

inline std::string query_of(SoupServerMessage* message)
{
    auto const* const query = g_uri_get_query(soup_server_message_get_uri(message));
    return query == nullptr ? "" : query;
}

inline std::string body_of(SoupServerMessage* message)
{
    GBytes* const bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
    gsize size = 0;
    auto const* const data = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    std::string text = data == nullptr ? std::string() : std::string(data, size);
    g_bytes_unref(bytes);
    return text;
}

/// All headers of a request; a name may occur more than once.
using header_list = std::vector<std::pair<std::string, std::string>>;

inline header_list headers_of(SoupServerMessage* message)
{
    header_list headers;
    soup_message_headers_foreach(
        soup_server_message_get_request_headers(message),
        [](char const* name, char const* value, gpointer data)
        { static_cast<header_list*>(data)->emplace_back(name, value); },
        &headers);
    return headers;
}

/// Replaces invalid UTF-8, so that whatever a caller sent can be shown.
inline std::string dump(nlohmann::json const& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

inline void answer(SoupServerMessage* message, unsigned status, nlohmann::json const& body)
{
    auto const text = dump(body);
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(),
                                     text.size());
}

/// True when the peer closed the connection. libsoup itself notices it only when it writes.
inline bool peer_closed(SoupServerMessage* message)
{
    GSocket* const socket = soup_server_message_get_socket(message);
    char byte = 0;
    return socket == nullptr ||
           recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// Ends a paused request by closing its connection without the rest of the answer.
inline void close_connection(SoupServerMessage* message)
{
    if (GSocket* const socket = soup_server_message_get_socket(message); socket != nullptr)
    {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
    // libsoup ends the request at the first write that fails, so there must be one.
    if (soup_server_message_get_status(message) == SOUP_STATUS_NONE)
    {
        answer(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    }
    auto* const body = soup_server_message_get_response_body(message);
    soup_message_body_append(body, SOUP_MEMORY_STATIC, "\n", 1);
    soup_message_body_complete(body);
    soup_server_message_unpause(message);
}

/// Listens and prints the `listening` line.
/// \param address `IP:port`; port 0 lets the system choose.
inline base::result<void> serve(http_server& server, std::string const& address)
{
    server.soup.reset(soup_server_new(nullptr, nullptr));
    auto const handler =
        [](SoupServer*, SoupServerMessage* message, char const*, GHashTable*, gpointer data)
    {
        try
        {
            static_cast<http_server*>(data)->on_request(message);
        }
        catch (nlohmann::json::exception const& wrong)
        {
            answer(message, SOUP_STATUS_BAD_REQUEST, {{"error", {{"message", wrong.what()}}}});
        }
    };
    soup_server_add_handler(server.soup.get(), nullptr, handler, &server, nullptr);
    auto const colon = address.rfind(':');
    GError* failure = nullptr;
    base::object_ptr<GSocketAddress> const bind_to(
        colon == std::string::npos
            ? nullptr
            : g_inet_socket_address_new_from_string(
                  address.substr(0, colon).c_str(),
                  static_cast<guint>(std::strtoul(address.c_str() + colon + 1, nullptr, 10))));
    if (!bind_to)
    {
        return base::fail(base::result_code::usage,
                          fmt::format("--listen {}: not an IP address and port", address));
    }
    if (soup_server_listen(server.soup.get(), bind_to.get(), SoupServerListenOptions(0),
                           &failure) == 0)
    {
        base::glib_error_ptr const owned(failure);
        return base::fail(base::result_code::io_error,
                          fmt::format("can't listen on {}: {}", address, failure->message));
    }
    GSList* const uris = soup_server_get_uris(server.soup.get());
    fmt::print("{{\"event\":\"listening\",\"port\":{}}}\n",
               g_uri_get_port(static_cast<GUri*>(uris->data)));
    std::fflush(stdout);
    g_slist_free_full(uris, [](gpointer uri) { g_uri_unref(static_cast<GUri*>(uri)); });
    return {};
}

} // namespace gooseberrywood::test

#endif
