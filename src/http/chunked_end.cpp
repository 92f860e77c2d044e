#include "http/chunked_end.hpp"

#include "base/glib_ptr.hpp"

#include <sys/socket.h>

#include <cerrno>

namespace gooseberrywood::http
{

namespace
{

/// Base stream of a filter stream, or nullptr.
GInputStream* base_of(GInputStream* stream)
{
    return G_IS_FILTER_INPUT_STREAM(stream)
               ? g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(stream))
               : nullptr;
}

/// Socket that a stream ultimately reads from, or nullptr.
base::object_ptr<GSocket> find_socket(GInputStream* stream)
{
    while (auto* const base = base_of(stream))
    {
        stream = base;
    }
    if (g_object_class_find_property(G_OBJECT_GET_CLASS(stream), "socket") == nullptr)
    {
        return nullptr;
    }
    GSocket* found = nullptr;
    g_object_get(stream, "socket", &found, nullptr);
    return base::object_ptr<GSocket>(found);
}

bool has_peer_closed(GSocket* socket)
{
    char byte = 0;
    auto const count = recv(g_socket_get_fd(socket), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Closes the socket and reads from the body. A stream that has reached the end of the body still
/// reports the end, while one that expects another chunk fails.
bool fails_without_socket(GInputStream* body, GSocket* socket)
{
    g_socket_close(socket, nullptr);
    char byte = 0;
    GError* failure = nullptr;
    auto const count = g_pollable_input_stream_read_nonblocking(G_POLLABLE_INPUT_STREAM(body),
                                                                &byte, 1, nullptr, &failure);
    base::glib_error_ptr const owned(failure);
    return count != 0;
}

} // namespace

bool lacks_last_chunk(SoupMessage* message, GInputStream* response_stream)
{
    auto* const headers = soup_message_get_response_headers(message);
    auto* const body = base_of(response_stream);
    if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED || body == nullptr)
    {
        return false;
    }
    auto const socket = find_socket(response_stream);
    // While the connection is open, only the last chunk can end the response.
    return socket && has_peer_closed(socket.get()) && fails_without_socket(body, socket.get());
}

} // namespace gooseberrywood::http
