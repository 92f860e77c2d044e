#ifndef GOOSEBERRYWOOD_HTTP_CALL_HPP
#define GOOSEBERRYWOOD_HTTP_CALL_HPP

#include "base/byte_budget.hpp"
#include "base/error.hpp"
#include "base/event_source.hpp"
#include "base/glib_ptr.hpp"
#include "http/exchange.hpp"
#include "http/response_limits.hpp"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief A request to another HTTP server.
struct call_request
{
    std::string method = "GET";
    std::string url;
    std::string content_type;
    std::string body;
    /// Body that others hold as well; used instead of `body` if it is not null.
    shared_bytes shared_body = {};
    std::vector<header> headers;
    /// Whether the request may be executed twice. If not, it is sent on a new connection: on a
    /// kept-alive one it would be unknown whether a request without a response was executed.
    bool may_repeat = false;
};

/// \ingroup http
/// \brief The body of a request, whichever of its members holds it.
[[nodiscard]] inline std::string_view body_of(call_request const& request)
{
    return request.shared_body ? view_of(request.shared_body) : std::string_view(request.body);
}

/// \ingroup http
/// \brief Callbacks of the owner of a call.
struct call_handlers
{
    std::function<void(std::uint16_t status, std::string_view content_type)> on_status;
    std::function<void(std::string_view bytes)> on_bytes;
    /// The complete response was read. Called at most once; no handler is called after it.
    std::function<void()> on_complete;
    /// The call failed. `sent` is false only if no byte of the request was sent.
    std::function<void(base::error const&, bool sent)> on_failed;
    /// The first byte is about to be sent. Not called if no connection can be established.
    std::function<void()> on_sending = {};
    /// Asked when the first byte could be sent, which may be long after the call was started. If it
    /// returns false, nothing is sent and the call fails.
    std::function<bool()> may_send = {};
};

/// \ingroup http
/// \brief An HTTP call in progress. It ends when its owner releases the last pointer to it, which
/// the owner may do in any handler; no handler is called after that.
struct call : std::enable_shared_from_this<call>
{
    call() = default;
    call(call const&) = delete;
    call& operator=(call const&) = delete;
    ~call();

    base::object_ptr<SoupMessage> message;
    base::object_ptr<GCancellable> cancellable;
    base::object_ptr<GInputStream> response_stream;
    call_handlers handlers;
    /// Counts the bytes of the response.
    std::shared_ptr<base::byte_share> share;
    /// Reports an invalid URL from the main loop.
    base::event_source failure_report;
    /// The stream is polled, because each asynchronous read of GIO allocates a task object.
    base::event_source readable;
    bool sent = false;
    /// `may_send` has returned false.
    bool withdrawn = false;
    /// The call has completed or failed, or its owner has released it. No handler is called any
    /// more.
    bool ended = false;
};

/// \ingroup http
/// \brief Default maximum number of connections of a session: well above the concurrency limit of
/// any upstream.
inline constexpr std::size_t default_session_connections = 4096;

/// \ingroup http
/// \brief Creates a session for calls without cookies, redirects, proxies or content decoding.
/// \param limits limits of all responses. A call fails with `response_too_large` when its response
/// exceeds one.
/// \param max_connections maximum number of open connections; further calls wait for one.
[[nodiscard]] base::object_ptr<SoupSession>
make_session(response_limits limits = make_response_limits(),
             std::size_t max_connections = default_session_connections);

/// \ingroup http
/// \brief Starts a call.
/// \returns the pointer of the call's owner.
[[nodiscard]] std::shared_ptr<call> start_call(SoupSession* session, call_request const& request,
                                               call_handlers handlers);

} // namespace gooseberrywood::http

#endif
