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
/// \brief A connection that this process has opened to another gateway, or is opening.
struct peer_link
{
    /// Number of the connection; 0 while it is being opened.
    std::uint64_t connection = 0;
    /// Messages for the time after the connection is there.
    std::vector<wire::message> waiting;
    /// Closes the connection when nothing was sent for a while.
    base::event_source idle_timer;
};

/// \ingroup gateway
/// \brief Connections between gateways. A message may be lost with its connection; who sends it
/// must be able to bear that.
struct peer_connections
{
    wire::hello own;
    /// Receives each message, with the connection on which it can be answered.
    std::function<void(wire::connection&, wire::message const&)> on_message;
    /// A connection to this address could not be opened, or has ended.
    std::function<void(std::string const& address)> on_disconnected;
    std::unique_ptr<wire::listener> listening;
    /// `IP:port` where this process listens; empty when it does not.
    std::string address;
    std::uint64_t last_number = 0;
    /// All connections by number, whichever side has opened them.
    std::map<std::uint64_t, std::shared_ptr<wire::connection>> open;
    /// Those that this process has opened, by address.
    std::map<std::string, peer_link, std::less<>> outgoing;
};

/// \ingroup gateway
/// \brief Starts to listen for other gateways.
/// \param address `IP:port`; nothing is listened on when it is empty.
[[nodiscard]] base::result<void> listen_for_peers(peer_connections& self,
                                                  std::string const& address);

/// \ingroup gateway
/// \brief Sends a message to another gateway, over a connection that is opened if there is none.
void send_to_peer(peer_connections& self, std::string const& address, wire::message what);

} // namespace gooseberrywood::gateway

#endif
