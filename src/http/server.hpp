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
/// \brief An HTTP server on the main loop. Bodies above `max_body_bytes` are refused while they
/// arrive.
struct server
{
    ~server();

    base::object_ptr<SoupServer> soup;
    std::unique_ptr<wire::listener> listening;
    std::function<void(std::shared_ptr<exchange> const&)> handle;
    std::size_t open_connections = 0;
    /// Requests whose answers are not written to their end.
    std::size_t open_responses = 0;
};

/// \ingroup http
/// \brief Starts a server.
/// \param address `IP:port`; port 0 lets the system choose one, see `listening->port`.
/// \param handle called for each request; it may answer later.
/// \returns `io_error` when the address can't be used.
[[nodiscard]] base::result<std::unique_ptr<server>>
serve(std::string_view address, std::function<void(std::shared_ptr<exchange> const&)> handle);

/// \ingroup http
/// \brief Takes no new connections; open ones go on.
void stop_listening(server& which);

} // namespace gooseberrywood::http

#endif
