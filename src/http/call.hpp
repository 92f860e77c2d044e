#ifndef GOOSEBERRYWOOD_HTTP_CALL_HPP
#define GOOSEBERRYWOOD_HTTP_CALL_HPP

#include "base/error.hpp"
#include "base/event_source.hpp"
#include "base/glib_ptr.hpp"
#include "http/exchange.hpp"

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
/// \brief What to send to another HTTP server.
struct call_request
{
    std::string method = "GET";
    std::string url;
    std::string content_type;
    std::string body;
    std::vector<header> headers;
    /// A call that must not run twice goes on a connection of its own: on a kept one it can't be
    /// told whether a request that got no answer has run.
    bool may_repeat = false;
};

/// \ingroup http
/// \brief What the owner of a call supplies.
struct call_handlers
{
    std::function<void(std::uint16_t status, std::string_view content_type)> on_status;
    std::function<void(std::string_view bytes)> on_bytes;
    /// The whole answer was read. Called once; nothing is called after it.
    std::function<void()> on_complete;
    /// The call failed. `sent` is false only if no byte of the request left this process.
    std::function<void(base::error const&, bool sent)> on_failed;
    /// The first byte is about to be sent. Not called when no connection can be made.
    std::function<void()> on_sending = {};
};

/// \ingroup http
/// \brief One running call. Dropping the shared_ptr cancels it; no handler is called after that.
struct call : std::enable_shared_from_this<call>
{
    ~call();

    base::object_ptr<SoupMessage> message;
    base::object_ptr<GCancellable> cancellable;
    base::object_ptr<GInputStream> answer;
    call_handlers handlers;
    base::event_source failing;
    /// Polled rather than read asynchronously: each asynchronous read of GIO costs a task object.
    base::event_source readable;
    bool sent = false;
    bool ended = false;
};

/// \ingroup http
/// \brief Makes a session for calls without cookies, redirects, proxies or decoding.
[[nodiscard]] base::object_ptr<SoupSession> make_session();

/// \ingroup http
/// \brief Starts a call.
[[nodiscard]] std::shared_ptr<call> start_call(SoupSession* session, call_request const& what,
                                               call_handlers handlers);

} // namespace gooseberrywood::http

#endif
