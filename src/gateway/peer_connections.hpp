#ifndef GOOSEBERRYWOOD_GATEWAY_PEER_CONNECTIONS_HPP
#define GOOSEBERRYWOOD_GATEWAY_PEER_CONNECTIONS_HPP

#include "base/event_source.hpp"
#include "base/result.hpp"
#include "wire/connection.hpp"
#include "wire/listener.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief A connection to another gateway that this process has opened or is opening.
struct peer_link
{
    /// Key in `peer_connections::connections`; 0 while the connection is being opened.
    std::uint64_t connection_number = 0;
    /// Messages to send once the connection is open.
    std::vector<wire::message> queued;
    /// Closes the connection when nothing has been sent on it for the idle timeout.
    base::event_source idle_timer;
};

/// \ingroup gateway
/// \brief Connections to other gateways. Delivery is best effort: messages may be lost with their
/// connection, and the sender must tolerate that.
struct peer_connections
{
    /// Sent first on each connection.
    wire::hello own_hello;
    /// Called for each received message except `hello`, with the connection to answer on.
    std::function<void(wire::connection&, wire::message const&)> on_message;
    /// Called when an outgoing connection to this address could not be opened or has ended.
    std::function<void(std::string const& address)> on_disconnected;
    std::unique_ptr<wire::listener> listening;
    /// `IP:port` that this process listens on; empty when it does not listen.
    std::string address;
    std::uint64_t last_number = 0;
    /// Incoming and outgoing connections, by number.
    std::map<std::uint64_t, std::shared_ptr<wire::connection>> connections;
    /// Connections that this process has opened, by address.
    std::map<std::string, peer_link, std::less<>> outgoing;
};

/// \ingroup gateway
/// \brief Starts to listen for other gateways.
/// \param address `IP:port`, or empty to not listen. With port 0 the system chooses the port.
[[nodiscard]] base::result<void> listen_for_peers(peer_connections& self,
                                                  std::string const& address);

/// \ingroup gateway
/// \brief Sends a message to another gateway; opens a connection if there is none.
void send_to_peer(peer_connections& self, std::string const& address, wire::message message);

} // namespace gooseberrywood::gateway

#endif
