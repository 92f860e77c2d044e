#ifndef GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_HTTP_CLIENT_HPP
#define GOOSEBERRYWOOD_TEST_PROCESS_SUPPORT_HTTP_CLIENT_HPP

#include "base/glib_ptr.hpp"
#include "base/result.hpp"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywood::test
{

struct http_request
{
    std::string url;
    std::string method = "GET";
    std::string body = {};
    std::vector<std::pair<std::string, std::string>> headers = {};
    /// The call fails when the peer sends nothing for so long.
    unsigned silence_s = 30;
};

struct http_response
{
    unsigned status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Differs between the connections of a session.
    std::uint64_t connection = 0;
};

/// Sends a request on a connection of its own and waits for the whole answer. May be called in
/// several threads at once.
/// \returns `connection_lost` when the connection can't be made or ends early.
[[nodiscard]] base::result<http_response> fetch(http_request const& request);

/// Sends requests on one connection that stays open between them.
struct open_connection
{
    std::unique_ptr<GMainContext, decltype(&g_main_context_unref)> context{nullptr,
                                                                           g_main_context_unref};
    base::object_ptr<SoupSession> session;

    open_connection();
    open_connection(open_connection const&) = delete;
    open_connection& operator=(open_connection const&) = delete;
    ~open_connection();
};

/// As `fetch`, on a connection that may be open already. Use it in the thread that made it.
[[nodiscard]] base::result<http_response> fetch(open_connection const& on,
                                                http_request const& request);

/// GET that must succeed.
/// \throws std::runtime_error
[[nodiscard]] nlohmann::json get_json(std::string const& url);

/// POST that must succeed.
/// \throws std::runtime_error
nlohmann::json post_json(std::string const& url, nlohmann::json const& body);

/// Opens a connection and resets it.
/// \throws std::runtime_error
void reset_connection(std::uint16_t port);

/// A response that is read while it arrives. Destroying it closes the connection.
struct http_stream
{
    std::unique_ptr<GMainContext, decltype(&g_main_context_unref)> context{nullptr,
                                                                           g_main_context_unref};
    base::object_ptr<SoupSession> session;
    base::object_ptr<SoupMessage> message;
    base::object_ptr<GDataInputStream> body;
    unsigned status = 0;

    http_stream() = default;
    http_stream(http_stream&&) = default;
    http_stream& operator=(http_stream&&) = default;
    ~http_stream();
};

/// Sends a request and returns once the headers of the answer have arrived.
[[nodiscard]] base::result<http_stream> open_stream(http_request const& request);

/// Waits for the next server-sent event. Use it in the thread that opened the stream.
/// \returns its data, nothing at the end of the answer, `connection_lost` when it ends early.
[[nodiscard]] base::result<std::optional<std::string>> next_event(http_stream& from);

} // namespace gooseberrywood::test

#endif
