#ifndef GOOSEBERRYWOOD_HTTP_EXCHANGE_HPP
#define GOOSEBERRYWOOD_HTTP_EXCHANGE_HPP

#include "base/byte_budget.hpp"
#include "base/glib_ptr.hpp"
#include "http/connection_table.hpp"
#include "http/shared_bytes.hpp"

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
/// \brief An HTTP header.
struct header
{
    std::string name;
    std::string value;
};

/// \ingroup http
/// \brief A request received by a server, and its response.
///
/// The handler keeps the shared_ptr until it has responded. If the exchange is destroyed without a
/// response, the server responds with status 500.
struct exchange : std::enable_shared_from_this<exchange>
{
    ~exchange();

    base::object_ptr<SoupServerMessage> message;
    std::string method;
    /// Path without query.
    std::string path;
    /// Query including the `?`, or empty.
    std::string query;
    /// Request body; released when the response is sent.
    shared_bytes body_bytes;
    /// View of `body_bytes`.
    std::string_view body;
    /// Called if the caller's connection is lost before the response is complete.
    std::function<void()> on_disconnected;

    /// Table of the connection, which holds memory for the request and the response.
    std::shared_ptr<connection_table> connections;
    /// Whether the answer must announce that its connection is closed.
    std::shared_ptr<bool const> closes_connection;

    /// Response bytes that are queued but not yet written to the socket.
    std::size_t queued_response_bytes = 0;
    bool answered = false;
    bool streaming = false;
    /// The caller has closed its connection.
    bool disconnected = false;
    /// libsoup has ended the request.
    bool finished = false;
};

/// \ingroup http
/// \brief Socket on which a request arrived. libsoup provides it only for connections that it
/// accepted itself, so the server attaches it to the remote address.
[[nodiscard]] GSocket* socket_of(SoupServerMessage* message);

/// \ingroup http
/// \brief Value of a request header, if it occurs exactly once.
[[nodiscard]] std::optional<std::string_view> request_header(exchange const& request,
                                                             char const* name);

/// \ingroup http
/// \brief All request headers. Values of a repeated header are joined by commas.
[[nodiscard]] std::vector<header> request_headers(exchange const& request);

/// \ingroup http
/// \brief Path and query as sent by the caller, without decoding.
[[nodiscard]] std::string request_target(exchange const& request);

/// \ingroup http
/// \brief Sends a response with a complete body.
void respond(exchange& request, std::uint16_t status, std::string_view content_type,
             std::string_view body, std::span<header const> headers = {});

/// \ingroup http
/// \brief Sends a response with a complete body, without a copy of it.
/// \param owner keeps the body; released when the response was written or its connection was lost.
/// \param share counts the body; null if nothing does.
void respond(exchange& request, std::uint16_t status, std::string_view content_type,
             std::shared_ptr<void const> owner, std::string_view body,
             std::span<header const> headers, std::weak_ptr<base::byte_share> share);

/// \ingroup http
/// \brief Reserves further memory for a request that was read to its end, in bytes. It is returned
/// when the request has ended.
/// \returns false if there is no room for it.
[[nodiscard]] bool reserve_memory(exchange& request, std::size_t bytes);

/// \ingroup http
/// \brief Starts a chunked response.
void begin_stream(exchange& request, std::uint16_t status, std::string_view content_type,
                  std::span<header const> headers = {});

/// \ingroup http
/// \brief Appends bytes to a chunked response.
/// \returns false if the caller reads too slowly or has disconnected. The request must then be
/// ended.
bool append_stream(exchange& request, std::string_view bytes);

/// \ingroup http
/// \brief Completes a chunked response.
void end_stream(exchange& request);

/// \ingroup http
/// \brief Aborts a chunked response by closing its connection, so that the caller detects that it
/// is incomplete.
void abort_stream(exchange& request);

/// \ingroup http
/// \brief Whether the caller has closed its connection.
[[nodiscard]] bool is_caller_disconnected(exchange const& request);

} // namespace gooseberrywood::http

#endif
