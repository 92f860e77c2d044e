#ifndef GOOSEBERRYWOOD_HTTP_SERVER_HPP
#define GOOSEBERRYWOOD_HTTP_SERVER_HPP

#include "base/event_source.hpp"
#include "base/glib_ptr.hpp"
#include "base/result.hpp"
#include "http/connection_check.hpp"
#include "http/connection_table.hpp"
#include "http/exchange.hpp"
#include "wire/listener.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief What a server takes from its clients.
struct server_options
{
    server_limits limits;
    /// Budgets of the process; by default those of a process with `default_memory_bytes`.
    memory_budgets budgets;
    /// Asked when the head of a request was read whose body is not short, and before more of it is
    /// held. \returns an answer if the request can't be allowed whatever its body is.
    std::function<std::optional<rejection>(SoupServerMessage*)> admit;
    base::duration check_interval = connection_check_interval;
};

/// \ingroup http
/// \brief An HTTP server on the main loop. It enforces its limits while requests are received.
struct server
{
    ~server();

    base::object_ptr<SoupServer> soup;
    std::unique_ptr<wire::listener> listening;
    std::function<void(std::shared_ptr<exchange> const&)> handle;
    std::function<std::optional<rejection>(SoupServerMessage*)> admit;
    std::shared_ptr<connection_table> const connections = std::make_shared<connection_table>();
    base::event_source connection_check;
    /// Number of requests whose responses are not completely written.
    std::size_t open_responses = 0;
    /// Set once each answer announces that its connection is closed.
    std::shared_ptr<bool> const is_closing = std::make_shared<bool>(false);
};

/// \ingroup http
/// \brief Starts a server.
/// \param address `IP:port`; port 0 lets the system choose one, see `listening->port`.
/// \param handle called for each request; it may respond later.
/// \returns `io_error` if the address can't be used.
[[nodiscard]] base::result<std::unique_ptr<server>>
serve(std::string_view address, std::function<void(std::shared_ptr<exchange> const&)> handle,
      server_options options = {});

/// \ingroup http
/// \brief Closes stalled connections of this server when there is no room for responses of
/// upstreams.
void shed_when_full(server& shedding);

/// \ingroup http
/// \brief Stops accepting connections; open connections are kept.
void stop_listening(server& stopped);

/// \ingroup http
/// \brief Announces with each answer from now on that its connection is closed, so that callers use
/// no connection again.
void announce_close(server& closing);

/// \ingroup http
/// \brief Closes the connections on which no request is being read or answered, or waits unread.
void close_idle_connections(server& closing);

/// \ingroup http
/// \brief Closes the connections on which no request is being answered. One that is being read is
/// refused; one that waits unread is read first, so that this must be called again.
void close_unanswered_connections(server& closing);

} // namespace gooseberrywood::http

#endif
