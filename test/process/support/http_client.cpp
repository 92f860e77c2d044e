#include "process/support/http_client.hpp"

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace gooseberrywood::test
{

namespace
{

/// Makes a context the default of this thread, so that no source gets into the main one.
struct pushed_context
{
    GMainContext* context;

    explicit pushed_context(GMainContext* which) : context(which)
    {
        g_main_context_push_thread_default(context);
    }
    pushed_context(pushed_context const&) = delete;
    pushed_context& operator=(pushed_context const&) = delete;
    ~pushed_context()
    {
        g_main_context_pop_thread_default(context);
    }
};

base::result<std::string> read_all(GInputStream* from)
{
    GError* failure = nullptr;
    base::object_ptr<GOutputStream> const to(g_memory_output_stream_new_resizable());
    auto const flags = GOutputStreamSpliceFlags(G_OUTPUT_STREAM_SPLICE_CLOSE_TARGET);
    if (g_output_stream_splice(to.get(), from, flags, nullptr, &failure) < 0)
    {
        base::glib_error_ptr const owned(failure);
        return base::fail(base::result_code::connection_lost, failure->message);
    }
    auto* const memory = G_MEMORY_OUTPUT_STREAM(to.get());
    return std::string(static_cast<char const*>(g_memory_output_stream_get_data(memory)),
                       g_memory_output_stream_get_data_size(memory));
}

/// \returns nothing when the URL is none.
base::object_ptr<SoupMessage> make_message(http_request const& request, SoupMessageFlags flags)
{
    base::object_ptr<SoupMessage> made(
        soup_message_new(request.method.c_str(), request.url.c_str()));
    if (!made)
    {
        return made;
    }
    soup_message_add_flags(made.get(), SoupMessageFlags(SOUP_MESSAGE_NO_REDIRECT | flags));
    auto* const headers = soup_message_get_request_headers(made.get());
    for (auto const& [name, value] : request.headers)
    {
        soup_message_headers_append(headers, name.c_str(), value.c_str());
    }
    if (!request.body.empty())
    {
        GBytes* const bytes = g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(made.get(), "application/json", bytes);
        g_bytes_unref(bytes);
    }
    return made;
}

nlohmann::json must_succeed(http_request const& request)
{
    auto const response = fetch(request);
    if (!response || response->status != SOUP_STATUS_OK)
    {
        throw std::runtime_error(
            fmt::format("{} {}: {}", request.method, request.url,
                        response ? fmt::format("{} {}", response->status, response->body)
                                 : response.error().message));
    }
    return nlohmann::json::parse(response->body);
}

} // namespace

void reset_connection(std::uint16_t port)
{
    int const descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (descriptor < 0 || ::connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    {
        throw std::runtime_error("can't connect");
    }
    // Without lingering, closing sends a reset.
    linger const at_once{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(descriptor);
}

http_stream::~http_stream()
{
    if (context == nullptr)
    {
        return;
    }
    pushed_context const pushed(context.get());
    soup_session_abort(session.get());
    body.reset();
    message.reset();
    session.reset();
}

base::result<http_stream> open_stream(http_request const& request)
{
    http_stream opened;
    opened.context.reset(g_main_context_new());
    pushed_context const pushed(opened.context.get());
    opened.session.reset(soup_session_new());
    soup_session_set_timeout(opened.session.get(), request.silence_s);
    // libsoup would send the request again on a connection that ended, which hides the fault.
    opened.message = make_message(request, SOUP_MESSAGE_NEW_CONNECTION);
    if (!opened.message)
    {
        return base::fail(base::result_code::usage, "not a URL: " + request.url);
    }
    auto* const message = opened.message.get();
    GError* failure = nullptr;
    base::object_ptr<GInputStream> const input(
        soup_session_send(opened.session.get(), message, nullptr, &failure));
    if (!input)
    {
        base::glib_error_ptr const owned(failure);
        return base::fail(base::result_code::connection_lost, failure->message);
    }
    opened.body.reset(g_data_input_stream_new(input.get()));
    opened.status = soup_message_get_status(message);
    return opened;
}

base::result<std::optional<std::string>> next_event(http_stream& from)
{
    pushed_context const pushed(from.context.get());
    static constexpr std::string_view prefix = "data: ";
    while (true)
    {
        GError* failure = nullptr;
        std::unique_ptr<char, base::glib_free> const line(
            g_data_input_stream_read_line(from.body.get(), nullptr, nullptr, &failure));
        if (failure != nullptr)
        {
            base::glib_error_ptr const owned(failure);
            return base::fail(base::result_code::connection_lost, failure->message);
        }
        if (!line)
        {
            return std::nullopt;
        }
        std::string_view const text(line.get());
        if (text.starts_with(prefix))
        {
            return std::string(text.substr(prefix.size()));
        }
    }
}

base::result<http_response> fetch(http_request const& request)
{
    auto opened = open_stream(request);
    if (!opened)
    {
        return tl::unexpected(opened.error());
    }
    pushed_context const pushed(opened->context.get());
    auto body = read_all(G_INPUT_STREAM(opened->body.get()));
    if (!body)
    {
        return tl::unexpected(body.error());
    }
    http_response response;
    response.status = opened->status;
    response.body = std::move(*body);
    soup_message_headers_foreach(
        soup_message_get_response_headers(opened->message.get()),
        [](char const* name, char const* value, gpointer data)
        { static_cast<http_response*>(data)->headers.emplace_back(name, value); },
        &response);
    return response;
}

open_connection::open_connection() : context(g_main_context_new(), g_main_context_unref)
{
    pushed_context const pushed(context.get());
    session.reset(soup_session_new_with_options("max-conns", 1, "max-conns-per-host", 1, nullptr));
}

open_connection::~open_connection()
{
    pushed_context const pushed(context.get());
    soup_session_abort(session.get());
    session.reset();
}

base::result<http_response> fetch(open_connection const& on, http_request const& request)
{
    pushed_context const pushed(on.context.get());
    // libsoup sends no POST on a connection that was used before without this flag.
    auto const message = make_message(request, SOUP_MESSAGE_IDEMPOTENT);
    soup_session_set_timeout(on.session.get(), request.silence_s);
    GError* failure = nullptr;
    base::object_ptr<GInputStream> const input(
        soup_session_send(on.session.get(), message.get(), nullptr, &failure));
    if (!input)
    {
        base::glib_error_ptr const owned(failure);
        return base::fail(base::result_code::connection_lost, failure->message);
    }
    auto answer = read_all(input.get());
    (void)g_input_stream_close(input.get(), nullptr, nullptr);
    // The session puts the connection back among the idle ones in its context.
    while (g_main_context_iteration(on.context.get(), FALSE) != FALSE)
    {
    }
    return answer.map(
        [&](std::string const& body)
        {
            return http_response{soup_message_get_status(message.get()),
                                 body,
                                 {},
                                 soup_message_get_connection_id(message.get())};
        });
}

nlohmann::json get_json(std::string const& url)
{
    return must_succeed({.url = url});
}

nlohmann::json post_json(std::string const& url, nlohmann::json const& body)
{
    return must_succeed({.url = url, .method = "POST", .body = body.dump()});
}

} // namespace gooseberrywood::test
