#include "provider/detail/http_client.hpp"

#include "base/event_source.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <utility>

namespace gooseberrywood::provider::detail
{

namespace
{

// Each waiting watch holds a connection; an entry has a handful of them and a few short calls.
constexpr int max_connections = 32;

struct pending_call
{
    // Keeps the session until the answer is there.
    std::shared_ptr<http_client> client;
    http_call call;
    done<http_answer> then;
    base::object_ptr<SoupMessage> message;
    base::object_ptr<GCancellable> cancellable;
    base::event_source timer;
    bool was_sent = false;
    bool passed_deadline = false;
};

base::error failed(pending_call const& pending, GError const* failure)
{
    auto const& errors = pending.call.errors;
    auto const* const why =
        pending.passed_deadline ? "no answer before the deadline" : failure->message;
    return {pending.was_sent ? errors.unknown : errors.unavailable,
            fmt::format("{} {}: {}", pending.call.method, pending.call.path, why)};
}

base::result<http_answer> classify(pending_call const& pending, GBytes* bytes)
{
    auto const status = soup_message_get_status(pending.message.get());
    auto const& errors = pending.call.errors;
    gsize size = 0;
    auto const* const data = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    std::string body = size == 0 ? std::string() : std::string(data, size);
    auto const message =
        fmt::format("{} {}: status {}", pending.call.method, pending.call.path, status);
    switch (status)
    {
    case SOUP_STATUS_OK:
    {
        auto const* const revision = soup_message_headers_get_one(
            soup_message_get_response_headers(pending.message.get()), "X-Revision");
        return http_answer{std::move(body),
                           revision == nullptr ? 0 : std::strtoull(revision, nullptr, 10)};
    }
    case SOUP_STATUS_NO_CONTENT:
        return base::fail(base::result_code::timeout, message);
    case SOUP_STATUS_CONFLICT:
    case SOUP_STATUS_PRECONDITION_FAILED:
        return base::fail(errors.conflict, message);
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
        return base::fail(errors.unavailable, message);
    default:
        // Other server errors say nothing about the effect.
        return base::fail(status >= SOUP_STATUS_INTERNAL_SERVER_ERROR
                              ? errors.unknown
                              : base::result_code::platform_refused,
                          message);
    }
}

void finish(GObject* session, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<pending_call> const pending(static_cast<pending_call*>(data));
    GError* failure = nullptr;
    GBytes* const bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(session), result, &failure);
    if (bytes == nullptr)
    {
        base::glib_error_ptr const owned(failure);
        pending->then(tl::unexpected(failed(*pending, failure)));
        return;
    }
    auto const answer = classify(*pending, bytes);
    g_bytes_unref(bytes);
    pending->then(answer);
}

} // namespace

base::result<std::shared_ptr<http_client>> make_http_client(std::string_view url)
{
    std::string text(url);
    base::object_ptr<SoupMessage> const parsed(soup_message_new("GET", text.c_str()));
    if (!parsed)
    {
        return base::fail(base::result_code::settings_invalid,
                          fmt::format("not a URL of the form http://IP:port: {}", text));
    }
    while (text.ends_with('/'))
    {
        text.pop_back();
    }
    auto made = std::make_shared<http_client>();
    made->url = std::move(text);
    // Each call has its own deadline, so the session has no timeout; proxies of the environment
    // must not see the calls.
    made->session.reset(soup_session_new_with_options(
        "max-conns", max_connections, "max-conns-per-host", max_connections, "timeout", 0U,
        "proxy-resolver", nullptr, nullptr));
    return made;
}

void send(std::shared_ptr<http_client> const& client, http_call call, done<http_answer> then)
{
    ++client->calls.at(static_cast<std::size_t>(call.kind));
    auto owned = std::make_unique<pending_call>();
    auto& pending = *owned;
    pending.client = client;
    pending.call = std::move(call);
    pending.then = std::move(then);
    pending.message.reset(
        soup_message_new(pending.call.method.c_str(), (client->url + pending.call.path).c_str()));
    pending.cancellable.reset(g_cancellable_new());
    auto* const message = pending.message.get();
    soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
    if (pending.call.method == "POST")
    {
        GBytes* const bytes = g_bytes_new(pending.call.body.data(), pending.call.body.size());
        soup_message_set_request_body_from_bytes(message, "application/octet-stream", bytes);
        g_bytes_unref(bytes);
    }
    auto const on_starting = +[](SoupMessage*, gpointer data)
    {
        static_cast<pending_call*>(data)->was_sent = true;
    };
    g_signal_connect(message, "starting", G_CALLBACK(on_starting), &pending);
    pending.timer = base::at(pending.call.deadline,
                             [&pending]
                             {
                                 pending.passed_deadline = true;
                                 g_cancellable_cancel(pending.cancellable.get());
                             });
    // Owned by `finish`, which libsoup always calls.
    soup_session_send_and_read_async(client->session.get(), message, G_PRIORITY_DEFAULT,
                                     pending.cancellable.get(), finish, owned.release());
}

} // namespace gooseberrywood::provider::detail
