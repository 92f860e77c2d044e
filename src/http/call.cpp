#include "http/call.hpp"

#include "http/message_framing.hpp"
#include "http/response_watch.hpp"

#include <array>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

constexpr std::size_t read_bytes = 16 * 1024;

// Maximum number of consecutive reads, so that one fast response can't starve the others.
constexpr int max_reads_per_event = 4;

using weak_call = std::weak_ptr<call>;

constexpr char const* limits_name = "gooseberrywood-response-limits";

void free_limits(gpointer limits)
{
    delete static_cast<response_limits*>(limits);
}

response_limits const& limits_of(SoupSession* session)
{
    return *static_cast<response_limits*>(g_object_get_data(G_OBJECT(session), limits_name));
}

base::result_code to_result_code(GError const* failure)
{
    if (g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE) != 0)
    {
        return base::result_code::response_too_large;
    }
    bool const is_malformed =
        g_error_matches(failure, SOUP_SESSION_ERROR, SOUP_SESSION_ERROR_PARSING) != 0 ||
        g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_INVALID_DATA) != 0;
    return is_malformed ? base::result_code::upstream_error : base::result_code::connection_lost;
}

void fail(call& c, GError* failure)
{
    base::glib_error_ptr const owned(failure);
    if (c.ended)
    {
        return;
    }
    c.ended = true;
    auto const handlers = std::move(c.handlers);
    auto const* const reason =
        c.withdrawn ? "the request was withdrawn before it was sent" : failure->message;
    handlers.on_failed({to_result_code(failure), reason}, c.sent);
}

void complete(call& c)
{
    c.ended = true;
    // Closing a completely read stream returns its connection to the session. Canceling the call,
    // as its destructor does, would close the connection.
    c.response_stream.reset();
    c.cancellable.reset();
    auto const handlers = std::move(c.handlers);
    handlers.on_complete();
}

/// \returns whether more data may be read immediately. The owner may have ended the call.
bool read_once(call& c)
{
    std::array<char, read_bytes> buffer;
    GError* failure = nullptr;
    gssize const count = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(c.response_stream.get()), buffer.data(), buffer.size(),
        c.cancellable.get(), &failure);
    if (count > 0)
    {
        c.handlers.on_bytes({buffer.data(), static_cast<std::size_t>(count)});
        return !c.ended;
    }
    if (count == 0)
    {
        if (!is_response_whole(c.message.get()))
        {
            fail(c, g_error_new_literal(G_IO_ERROR, G_IO_ERROR_INVALID_DATA,
                                        "the response has another end than its framing tells"));
            return false;
        }
        close_if_surplus(c.message.get());
        complete(c);
        return false;
    }
    if (g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0)
    {
        g_error_free(failure);
        return false;
    }
    fail(c, failure);
    return false;
}

void wait_readable(call& c);
void schedule_read(call& c);

gboolean on_readable(GObject*, gpointer data)
{
    auto const keep = static_cast<call*>(data)->shared_from_this();
    bool may_read_more = true;
    for (int i = 0; i < max_reads_per_event && may_read_more; ++i)
    {
        may_read_more = read_once(*keep);
    }
    if (keep->ended)
    {
        return G_SOURCE_REMOVE;
    }
    if (may_read_more)
    {
        schedule_read(*keep);
        return G_SOURCE_REMOVE;
    }
    // A new source is needed, because the stream may have buffered bytes.
    wait_readable(*keep);
    return G_SOURCE_REMOVE;
}

/// Continues reading after other events are processed. It does not wait for the socket to become
/// readable, because the remaining data may already be in a buffer of the stream.
void schedule_read(call& c)
{
    c.readable = base::soon(
        [weak = c.weak_from_this()]
        {
            if (auto const keep = weak.lock())
            {
                on_readable(nullptr, keep.get());
            }
        });
}

void wait_readable(call& c)
{
    GSource* const source = g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(c.response_stream.get()), c.cancellable.get());
    GPollableSourceFunc const function = on_readable;
    g_source_set_callback(source, G_SOURCE_FUNC(function), &c, nullptr);
    g_source_attach(source, nullptr);
    c.readable.reset(source);
}

void on_response(GObject* session, GAsyncResult* outcome, gpointer data)
{
    std::unique_ptr<weak_call> const weak(static_cast<weak_call*>(data));
    GError* failure = nullptr;
    base::object_ptr<GInputStream> stream(
        soup_session_send_finish(SOUP_SESSION(session), outcome, &failure));
    auto const c = weak->lock();
    if (!c || c->ended)
    {
        g_clear_error(&failure);
        return;
    }
    if (!stream)
    {
        fail(*c, failure);
        return;
    }
    c->response_stream = std::move(stream);
    char const* const type = soup_message_headers_get_content_type(
        soup_message_get_response_headers(c->message.get()), nullptr);
    c->handlers.on_status(static_cast<std::uint16_t>(soup_message_get_status(c->message.get())),
                          type != nullptr ? type : "application/octet-stream");
    if (!c->ended)
    {
        wait_readable(*c);
    }
}

void on_got_headers(SoupMessage* message, gpointer data)
{
    auto const keep = static_cast<call*>(data)->shared_from_this();
    if (auto const* const reason = find_ambiguity(message))
    {
        g_cancellable_cancel(keep->cancellable.get());
        fail(*keep, g_error_new_literal(G_IO_ERROR, G_IO_ERROR_INVALID_DATA, reason));
    }
}

// libsoup repeats a request on a new connection if the response is 421 or if a kept-alive
// connection is lost. The owner of the call must decide about that. Besides, the repeated request
// would have an incomplete body, because the body stream has already been read.
void on_misdirected(SoupMessage* message, gpointer data)
{
    auto const keep = static_cast<call*>(data)->shared_from_this();
    if (keep->ended || soup_message_get_status(message) != SOUP_STATUS_MISDIRECTED_REQUEST)
    {
        return;
    }
    g_cancellable_cancel(keep->cancellable.get());
    keep->handlers.on_status(SOUP_STATUS_MISDIRECTED_REQUEST, "application/octet-stream");
    if (!keep->ended)
    {
        complete(*keep);
    }
}

void on_restarted(SoupMessage* message, gpointer data)
{
    auto const keep = static_cast<call*>(data)->shared_from_this();
    g_cancellable_cancel(keep->cancellable.get());
    auto* const fault = find_fault(message);
    fail(*keep, fault != nullptr ? fault
                                 : g_error_new_literal(
                                       G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED,
                                       "the kept-alive connection was closed before the response"));
}

void on_starting(SoupMessage*, gpointer data)
{
    auto const keep = static_cast<call*>(data)->shared_from_this();
    bool const may_send = !keep->handlers.may_send || keep->handlers.may_send();
    if (keep->ended)
    {
        return;
    }
    if (!may_send)
    {
        // libsoup checks this before it writes, and reports the failure.
        keep->withdrawn = true;
        g_cancellable_cancel(keep->cancellable.get());
        return;
    }
    keep->sent = true;
    if (keep->handlers.on_sending)
    {
        keep->handlers.on_sending();
    }
}

/// Stops all work for a call, so that no handler is called any more. The handlers themselves are
/// kept, as one of them may be running.
void cancel(call& c)
{
    c.ended = true;
    c.readable.reset();
    c.failure_report.reset();
    if (c.message)
    {
        g_signal_handlers_disconnect_by_data(c.message.get(), &c);
    }
    if (c.cancellable)
    {
        g_cancellable_cancel(c.cancellable.get());
    }
}

/// Fails a call whose response was the largest when all together became too large.
void on_evicted(call& c)
{
    if (c.cancellable)
    {
        g_cancellable_cancel(c.cancellable.get());
    }
    fail(c, g_error_new_literal(G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE,
                                describe(base::growth::budget_full)));
}

std::shared_ptr<base::byte_share> open_response_share(call& c, SoupSession* session)
{
    auto const& limits = limits_of(session);
    return base::open_share(limits.budget, limits.max_response_bytes,
                            [weak = c.weak_from_this()]
                            {
                                if (auto const keep = weak.lock())
                                {
                                    on_evicted(*keep);
                                }
                            });
}

/// Makes the owner's pointer to a call. A handler that runs keeps the call itself alive, so the end
/// of the call can't depend on the number of pointers to it.
std::shared_ptr<call> make_owner(std::shared_ptr<call> const& inner)
{
    return {inner.get(), [inner](call* released)
            {
                cancel(*released);
            }};
}

} // namespace

call::~call()
{
    cancel(*this);
}

base::object_ptr<SoupSession> make_session(response_limits limits, std::size_t max_connections)
{
    auto const count = static_cast<int>(max_connections);
    base::object_ptr<SoupSession> session(
        soup_session_new_with_options("max-conns", count, "max-conns-per-host", count, "timeout", 0,
                                      "idle-timeout", 30, nullptr));
    watch_connections(session.get());
    g_object_set_data_full(G_OBJECT(session.get()), limits_name,
                           new response_limits(std::move(limits)), free_limits);
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
    return session;
}

std::shared_ptr<call> start_call(SoupSession* session, call_request const& request,
                                 call_handlers handlers)
{
    auto made = std::make_shared<call>();
    made->handlers = std::move(handlers);
    made->cancellable.reset(g_cancellable_new());
    made->message.reset(soup_message_new(request.method.c_str(), request.url.c_str()));
    if (!made->message)
    {
        // Reported from the main loop, so that the owner has stored the call when its handler runs.
        made->failure_report = base::soon(
            [weak = made->weak_from_this()]
            {
                if (auto const c = weak.lock())
                {
                    fail(*c, g_error_new_literal(G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
                                                 "the URL of the request is not valid"));
                }
            });
        return make_owner(made);
    }
    // Without SOUP_MESSAGE_IDEMPOTENT, libsoup opens a new connection for each POST.
    int const flags = SOUP_MESSAGE_NO_REDIRECT |
                      (request.may_repeat ? SOUP_MESSAGE_IDEMPOTENT : SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_set_flags(made->message.get(), static_cast<SoupMessageFlags>(flags));
    auto* const headers = soup_message_get_request_headers(made->message.get());
    for (auto const& [name, value] : request.headers)
    {
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    }
    auto const body = request.shared_body ? request.shared_body : copy_bytes(request.body);
    if (!view_of(body).empty() || !request.content_type.empty())
    {
        soup_message_set_request_body_from_bytes(made->message.get(),
                                                 request.content_type.empty()
                                                     ? "application/octet-stream"
                                                     : request.content_type.c_str(),
                                                 body.get());
    }
    g_signal_connect(made->message.get(), "starting", G_CALLBACK(on_starting), made.get());
    made->share = open_response_share(*made, session);
    watch_response(session, made->message.get(), made->share);
    g_signal_connect(made->message.get(), "got-headers", G_CALLBACK(on_got_headers), made.get());
    g_signal_connect(made->message.get(), "got-headers", G_CALLBACK(on_misdirected), made.get());
    g_signal_connect(made->message.get(), "restarted", G_CALLBACK(on_restarted), made.get());
    soup_session_send_async(session, made->message.get(), G_PRIORITY_DEFAULT,
                            made->cancellable.get(), on_response,
                            new weak_call(made->weak_from_this()));
    return make_owner(made);
}

} // namespace gooseberrywood::http
