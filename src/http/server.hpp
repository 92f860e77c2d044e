#ifndef GOOSEBERRYWOOD_HTTP_SERVER_HPP
#define GOOSEBERRYWOOD_HTTP_SERVER_HPP

#include "base/event_source.hpp"
#include "base/glib_ptr.hpp"
#include "base/result.hpp"
#include "http/exchange.hpp"
#include "wire/listener.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief An HTTP server on the main loop. It rejects bodies larger than `max_body_bytes` while
/// they are received.
struct server
{
    ~server();

    base::object_ptr<SoupServer> soup;
    std::unique_ptr<wire::listener> listening;
    std::function<void(std::shared_ptr<exchange> const&)> handle;
    std::size_t open_connections = 0;
    /// Number of requests whose responses are not completely written.
    std::size_t open_responses = 0;
};

/// \ingroup http
/// \brief Starts a server.
/// \param address `IP:port`; port 0 lets the system choose one, see `listening->port`.
/// \param handle called for each request; it may respond later.
/// \returns `io_error` if the address can't be used.
[[nodiscard]] base::result<std::unique_ptr<server>>
serve(std::string_view address, std::function<void(std::shared_ptr<exchange> const&)> handle);

/// \ingroup http
/// \brief Stops accepting connections; open connections are kept.
void stop_listening(server& stopped);

} // namespace gooseberrywood::http

#endif
