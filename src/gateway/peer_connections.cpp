#include "gateway/peer_connections.hpp"

#include "base/log.hpp"

#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration idle_timeout = std::chrono::seconds(15);

/// \returns nullptr when the connection has ended.
std::shared_ptr<wire::connection> find_connection(peer_connections const& self,
                                                  std::uint64_t number)
{
    auto const it = self.connections.find(number);
    return it != self.connections.end() ? it->second : nullptr;
}

void receive(peer_connections& self, std::uint64_t number, wire::message const& message)
{
    auto const from = find_connection(self, number);
    if (from && !std::holds_alternative<wire::hello>(message))
    {
        self.on_message(*from, message);
    }
}

/// Creates a connection on a connected socket and starts to receive messages.
/// \param on_closed called after the connection was removed.
/// \returns the connection's number.
std::uint64_t add_connection(peer_connections& self, base::object_ptr<GSocket> socket,
                             std::function<void()> on_closed)
{
    auto const number = ++self.last_number;
    wire::connection_handlers handlers;
    handlers.on_frame = [&self, number](wire::frame& received)
    {
        receive(self, number, received.body);
    };
    handlers.on_closed = [&self, number, on_closed = std::move(on_closed)](base::error const& error)
    {
        base::log_line(base::log_level::info, "peer_disconnected", {{"reason", error.message}});
        self.connections.erase(number);
        on_closed();
    };
    handlers.stamp = []
    {
        return wire::frame_stamp{};
    };
    self.connections[number] =
        wire::make_connection(std::move(socket), self.own_hello, std::move(handlers));
    return number;
}

void remove_link(peer_connections& self, std::string const& address)
{
    self.outgoing.erase(address);
    if (self.on_disconnected)
    {
        self.on_disconnected(address);
    }
}

void close_idle(peer_connections& self, std::uint64_t number)
{
    if (auto const connection = find_connection(self, number))
    {
        wire::close(*connection, {base::result_code::connection_lost, "unused"});
    }
}

/// Sends on an open connection.
void send(peer_connections& self, std::string const& address, std::uint64_t number,
          wire::message message)
{
    auto const connection = find_connection(self, number);
    if (!connection)
    {
        return;
    }
    if (auto const sent = wire::send(*connection, std::move(message)); !sent)
    {
        base::log_line(base::log_level::warning, "peer_message_lost",
                       {{"address", address}, {"reason", sent.error().message}});
    }
    if (auto const it = self.outgoing.find(address); it != self.outgoing.end())
    {
        it->second.idle_timer = base::at(base::mono_now() + idle_timeout,
                                         [&self, number] { close_idle(self, number); });
    }
}

void on_connected(peer_connections& self, std::string const& address,
                  base::result<base::object_ptr<GSocket>> socket)
{
    if (!socket)
    {
        base::log_line(base::log_level::warning, "peer_unreachable",
                       {{"address", address}, {"reason", socket.error().message}});
        remove_link(self, address);
        return;
    }
    auto const number =
        add_connection(self, std::move(*socket), [&self, address] { remove_link(self, address); });
    auto& link = self.outgoing.at(address);
    link.connection_number = number;
    for (auto& message : std::exchange(link.queued, {}))
    {
        send(self, address, number, std::move(message));
    }
}

} // namespace

base::result<void> listen_for_peers(peer_connections& self, std::string const& address)
{
    if (address.empty())
    {
        return {};
    }
    auto listening = wire::listen(address, [&self](base::object_ptr<GSocket> socket)
                                  { add_connection(self, std::move(socket), [] {}); });
    if (!listening)
    {
        return tl::unexpected(listening.error());
    }
    self.listening = std::move(*listening);
    // Port 0 was replaced by the port that the system chose.
    self.address = address.substr(0, address.rfind(':') + 1) + std::to_string(self.listening->port);
    return {};
}

void send_to_peer(peer_connections& self, std::string const& address, wire::message message)
{
    auto const [it, is_new] = self.outgoing.try_emplace(address);
    if (it->second.connection_number != 0)
    {
        send(self, address, it->second.connection_number, std::move(message));
        return;
    }
    it->second.queued.push_back(std::move(message));
    if (is_new)
    {
        wire::connect_to(address, [&self, address](base::result<base::object_ptr<GSocket>> socket)
                         { on_connected(self, address, std::move(socket)); });
    }
}

} // namespace gooseberrywood::gateway
