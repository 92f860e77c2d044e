#include "provider/detail/http_client.hpp"

#include "base/event_source.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <utility>

namespace gooseberrywood::provider::detail
{

namespace
{

// Each pending watch occupies a connection; an entry has a few watches and a few short calls.
constexpr int max_connections = 32;

struct pending_call
{
    // Keeps the session alive until the call completes.
    std::shared_ptr<http_client> client;
    http_call call;
    done<http_response> on_done;
    base::object_ptr<SoupMessage> message;
    base::object_ptr<GCancellable> cancellable;
    base::event_source timer;
    bool was_sent = false;
    bool timed_out = false;
};

base::error transport_error(pending_call const& pending, GError const* error)
{
    auto const& errors = pending.call.errors;
    auto const* const reason =
        pending.timed_out ? "no response before the deadline" : error->message;
    return {pending.was_sent ? errors.unknown : errors.unavailable,
            fmt::format("{} {}: {}", pending.call.method, pending.call.path, reason)};
}

base::result<http_response> classify(pending_call const& pending, GBytes* bytes)
{
    auto const status = soup_message_get_status(pending.message.get());
    auto const& errors = pending.call.errors;
    gsize size = 0;
    auto const* const data = static_cast<char const*>(g_bytes_get_data(bytes, &size));
    std::string body = size == 0 ? std::string() : std::string(data, size);
    auto const message =
        fmt::format("{} {}: HTTP status {}", pending.call.method, pending.call.path, status);
    switch (status)
    {
    case SOUP_STATUS_OK:
    {
        auto const* const revision = soup_message_headers_get_one(
            soup_message_get_response_headers(pending.message.get()), "X-Revision");
        return http_response{std::move(body),
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
        // Other server errors do not tell whether the call took effect.
        return base::fail(status >= SOUP_STATUS_INTERNAL_SERVER_ERROR
                              ? errors.unknown
                              : base::result_code::platform_refused,
                          message);
    }
}

void finish(GObject* session, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<pending_call> const pending(static_cast<pending_call*>(data));
    GError* error = nullptr;
    GBytes* const bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
    if (bytes == nullptr)
    {
        base::glib_error_ptr const error_owner(error);
        pending->on_done(tl::unexpected(transport_error(*pending, error)));
        return;
    }
    auto const response = classify(*pending, bytes);
    g_bytes_unref(bytes);
    pending->on_done(response);
}

} // namespace

base::result<std::shared_ptr<http_client>> make_http_client(std::string_view url)
{
    std::string base_url(url);
    base::object_ptr<SoupMessage> const parsed(soup_message_new("GET", base_url.c_str()));
    if (!parsed)
    {
        return base::fail(
            base::result_code::settings_invalid,
            fmt::format("platform URL must have the form http://IP:port, got \"{}\"", base_url));
    }
    while (base_url.ends_with('/'))
    {
        base_url.pop_back();
    }
    auto client = std::make_shared<http_client>();
    client->url = std::move(base_url);
    // Each call has its own deadline, so the session has no timeout. Calls must not pass through
    // proxies configured in the environment.
    client->session.reset(soup_session_new_with_options(
        "max-conns", max_connections, "max-conns-per-host", max_connections, "timeout", 0U,
        "proxy-resolver", nullptr, nullptr));
    return client;
}

void send(std::shared_ptr<http_client> const& client, http_call call, done<http_response> on_done)
{
    ++client->calls.at(static_cast<std::size_t>(call.kind));
    auto pending_owner = std::make_unique<pending_call>();
    auto& pending = *pending_owner;
    pending.client = client;
    pending.call = std::move(call);
    pending.on_done = std::move(on_done);
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
                                 pending.timed_out = true;
                                 g_cancellable_cancel(pending.cancellable.get());
                             });
    // `finish` takes ownership; libsoup always calls it.
    soup_session_send_and_read_async(client->session.get(), message, G_PRIORITY_DEFAULT,
                                     pending.cancellable.get(), finish, pending_owner.release());
}

} // namespace gooseberrywood::provider::detail
