#include "http/call.hpp"

#include "http/chunked_end.hpp"

#include <array>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

constexpr std::size_t read_bytes = 16 * 1024;

// Reads at most this many times in a row, so that one fast answer can't starve the others.
constexpr int max_reads_per_event = 4;

// Most kept connections of an agent to its upstreams: well above the concurrency limit of any.
constexpr int max_session_connections = 4096;

using weak_call = std::weak_ptr<call>;

void fail(call& c, GError* failure)
{
    base::glib_error_ptr const owned(failure);
    if (c.ended)
    {
        return;
    }
    c.ended = true;
    auto const handlers = std::move(c.handlers);
    handlers.on_failed({base::result_code::connection_lost, failure->message}, c.sent);
}

void complete(call& c)
{
    c.ended = true;
    // Closing the whole answer gives its connection back to the session. Cancelling the call, as
    // its destructor does, would close the connection.
    c.answer.reset();
    c.cancellable.reset();
    auto const handlers = std::move(c.handlers);
    handlers.on_complete();
}

/// \returns whether more can be read at once.
bool read_once(call& c)
{
    std::array<char, read_bytes> buffer;
    GError* failure = nullptr;
    gssize const count = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(c.answer.get()), buffer.data(), buffer.size(), c.cancellable.get(),
        &failure);
    if (count > 0)
    {
        c.handlers.on_bytes({buffer.data(), static_cast<std::size_t>(count)});
        return !c.ended;
    }
    if (count == 0)
    {
        if (lacks_last_chunk(c.message.get(), c.answer.get()))
        {
            fail(c, g_error_new_literal(G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT,
                                        "the connection ended before the last chunk"));
            return false;
        }
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
void read_on_soon(call& c);

gboolean on_readable(GObject*, gpointer data)
{
    auto const keep = static_cast<call*>(data)->shared_from_this();
    // The owner may drop the call in a handler; it must get no further calls then.
    auto const is_owned = [&]
    {
        return keep.use_count() > 1;
    };
    bool more = true;
    for (int i = 0; i < max_reads_per_event && is_owned() && more; ++i)
    {
        more = read_once(*keep);
    }
    if (!is_owned() || keep->ended)
    {
        return G_SOURCE_REMOVE;
    }
    if (more)
    {
        read_on_soon(*keep);
        return G_SOURCE_REMOVE;
    }
    // Made anew: the stream may hold bytes that it has read already.
    wait_readable(*keep);
    return G_SOURCE_REMOVE;
}

/// Goes on reading after the other events. What is left is not waited for: it may lie in a buffer
/// of the stream, where no readiness of the socket shows it.
void read_on_soon(call& c)
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
        G_POLLABLE_INPUT_STREAM(c.answer.get()), c.cancellable.get());
    GPollableSourceFunc const function = on_readable;
    g_source_set_callback(source, G_SOURCE_FUNC(function), &c, nullptr);
    g_source_attach(source, nullptr);
    c.readable.reset(source);
}

void on_answer(GObject* session, GAsyncResult* outcome, gpointer data)
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
    c->answer = std::move(stream);
    char const* const type = soup_message_headers_get_content_type(
        soup_message_get_response_headers(c->message.get()), nullptr);
    c->handlers.on_status(static_cast<std::uint16_t>(soup_message_get_status(c->message.get())),
                          type != nullptr ? type : "application/octet-stream");
    if (!c->ended)
    {
        wait_readable(*c);
    }
}

// libsoup sends a request again on a new connection when the answer is 421, and when a kept
// connection breaks. Both are for the owner of the call to decide; besides, the body, which was
// read once, would not be sent whole the second time.
void on_misdirected(SoupMessage* message, gpointer data)
{
    if (soup_message_get_status(message) != SOUP_STATUS_MISDIRECTED_REQUEST)
    {
        return;
    }
    auto const keep = static_cast<call*>(data)->shared_from_this();
    g_cancellable_cancel(keep->cancellable.get());
    keep->handlers.on_status(SOUP_STATUS_MISDIRECTED_REQUEST, "application/octet-stream");
    if (keep.use_count() > 1 && !keep->ended)
    {
        complete(*keep);
    }
}

void on_restarted(SoupMessage*, gpointer data)
{
    auto const keep = static_cast<call*>(data)->shared_from_this();
    g_cancellable_cancel(keep->cancellable.get());
    fail(*keep, g_error_new_literal(G_IO_ERROR, G_IO_ERROR_CONNECTION_CLOSED,
                                    "a kept connection broke before the answer"));
}

void on_starting(SoupMessage*, gpointer data)
{
    auto& c = *static_cast<call*>(data);
    c.sent = true;
    if (c.handlers.on_sending)
    {
        c.handlers.on_sending();
    }
}

} // namespace

call::~call()
{
    ended = true;
    if (message)
    {
        g_signal_handlers_disconnect_by_data(message.get(), this);
    }
    if (cancellable)
    {
        g_cancellable_cancel(cancellable.get());
    }
}

base::object_ptr<SoupSession> make_session()
{
    base::object_ptr<SoupSession> session(soup_session_new_with_options(
        "max-conns", max_session_connections, "max-conns-per-host", max_session_connections,
        "timeout", 0, "idle-timeout", 30, "proxy-resolver", nullptr, nullptr));
    soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
    return session;
}

std::shared_ptr<call> start_call(SoupSession* session, call_request const& what,
                                 call_handlers handlers)
{
    auto made = std::make_shared<call>();
    made->handlers = std::move(handlers);
    made->cancellable.reset(g_cancellable_new());
    made->message.reset(soup_message_new(what.method.c_str(), what.url.c_str()));
    if (!made->message)
    {
        // Reported from the loop, so that the owner has stored the call when its handler runs.
        made->failing = base::soon(
            [weak = made->weak_from_this()]
            {
                if (auto const c = weak.lock())
                {
                    fail(*c, g_error_new_literal(G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
                                                 "the upstream's URL is not valid"));
                }
            });
        return made;
    }
    // Without the flag, libsoup makes a new connection for each POST.
    int const flags = SOUP_MESSAGE_NO_REDIRECT |
                      (what.may_repeat ? SOUP_MESSAGE_IDEMPOTENT : SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_set_flags(made->message.get(), static_cast<SoupMessageFlags>(flags));
    auto* const out = soup_message_get_request_headers(made->message.get());
    for (auto const& [name, value] : what.headers)
    {
        soup_message_headers_replace(out, name.c_str(), value.c_str());
    }
    if (!what.body.empty() || !what.content_type.empty())
    {
        GBytes* const body = g_bytes_new(what.body.data(), what.body.size());
        soup_message_set_request_body_from_bytes(
            made->message.get(),
            what.content_type.empty() ? "application/octet-stream" : what.content_type.c_str(),
            body);
        g_bytes_unref(body);
    }
    g_signal_connect(made->message.get(), "starting", G_CALLBACK(on_starting), made.get());
    g_signal_connect(made->message.get(), "got-headers", G_CALLBACK(on_misdirected), made.get());
    g_signal_connect(made->message.get(), "restarted", G_CALLBACK(on_restarted), made.get());
    soup_session_send_async(session, made->message.get(), G_PRIORITY_DEFAULT,
                            made->cancellable.get(), on_answer,
                            new weak_call(made->weak_from_this()));
    return made;
}

} // namespace gooseberrywood::http
