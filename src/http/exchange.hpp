#ifndef GOOSEBERRYWOOD_HTTP_EXCHANGE_HPP
#define GOOSEBERRYWOOD_HTTP_EXCHANGE_HPP

#include "base/glib_ptr.hpp"

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief A header of an answer.
struct header
{
    std::string name;
    std::string value;
};

/// \ingroup http
/// \brief One request that a server received, and its answer.
///
/// The handler keeps the shared_ptr until it has answered; an exchange that is dropped without an
/// answer is answered 500.
struct exchange : std::enable_shared_from_this<exchange>
{
    ~exchange();

    base::object_ptr<SoupServerMessage> message;
    std::string method;
    /// Path without query.
    std::string path;
    /// Query with its `?`, or empty.
    std::string query;
    /// The request body; valid until the exchange is answered.
    std::string_view body;
    /// Called when the caller's connection breaks before the answer is complete.
    std::function<void()> on_disconnected;

    std::size_t unread_bytes = 0;
    bool answered = false;
    bool streaming = false;
    bool disconnected = false;
};

/// \ingroup http
/// \brief The socket that a request came on. libsoup itself knows it only for sockets that it
/// accepted; the server attaches it to the remote address.
[[nodiscard]] GSocket* socket_of(SoupServerMessage* message);

/// \ingroup http
/// \brief The value of a request header, if there is exactly one.
[[nodiscard]] std::optional<std::string_view> request_header(exchange const& of, char const* name);

/// \ingroup http
/// \brief All request headers; of one that occurs several times the values are joined.
[[nodiscard]] std::vector<header> request_headers(exchange const& of);

/// \ingroup http
/// \brief Path and query exactly as the caller sent them, without decoding.
[[nodiscard]] std::string request_target(exchange const& of);

/// \ingroup http
/// \brief Answers with a whole body.
void respond(exchange& to, std::uint16_t status, std::string_view content_type,
             std::string_view body, std::span<header const> headers = {});

/// \ingroup http
/// \brief Starts an answer whose length is not known yet.
void begin_stream(exchange& to, std::uint16_t status, std::string_view content_type,
                  std::span<header const> headers = {});

/// \ingroup http
/// \brief Adds bytes to a streamed answer.
/// \returns false when the caller reads too slowly or is gone; the caller of this function then
/// ends the request.
bool append_stream(exchange& to, std::string_view bytes);

/// \ingroup http
/// \brief Ends a streamed answer.
void end_stream(exchange& to);

/// \ingroup http
/// \brief Breaks the connection of a streamed answer, so that it can't be taken for a whole one.
void abort_stream(exchange& to);

/// \ingroup http
/// \brief Whether the caller has closed its connection.
[[nodiscard]] bool is_caller_disconnected(exchange const& of);

} // namespace gooseberrywood::http

#endif
