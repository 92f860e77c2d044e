#include "gateway/peer_connections.hpp"

#include "base/log.hpp"

#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration idle_time = std::chrono::seconds(15);

/// \returns nullptr when the connection has ended.
std::shared_ptr<wire::connection> find_open(peer_connections const& self, std::uint64_t number)
{
    auto const at = self.open.find(number);
    return at != self.open.end() ? at->second : nullptr;
}

void receive(peer_connections& self, std::uint64_t number, wire::message const& body)
{
    auto const from = find_open(self, number);
    if (from && !std::holds_alternative<wire::hello>(body))
    {
        self.on_message(*from, body);
    }
}

/// Takes over a connected socket.
/// \param on_closed called after the connection was forgotten.
/// \returns the connection's number.
std::uint64_t keep(peer_connections& self, base::object_ptr<GSocket> socket,
                   std::function<void()> on_closed)
{
    auto const number = ++self.last_number;
    wire::connection_handlers handlers;
    handlers.on_frame = [&self, number](wire::frame& received)
    {
        receive(self, number, received.body);
    };
    handlers.on_closed = [&self, number, on_closed = std::move(on_closed)](base::error const& why)
    {
        base::log_line(base::log_level::info, "peer_disconnected", {{"reason", why.message}});
        self.open.erase(number);
        on_closed();
    };
    handlers.stamp = []
    {
        return wire::frame_stamp{};
    };
    self.open[number] = wire::make_connection(std::move(socket), self.own, std::move(handlers));
    return number;
}

void forget_link(peer_connections& self, std::string const& address)
{
    self.outgoing.erase(address);
    if (self.on_disconnected)
    {
        self.on_disconnected(address);
    }
}

void close_unused(peer_connections& self, std::uint64_t number)
{
    if (auto const connection = find_open(self, number))
    {
        wire::close(*connection, {base::result_code::connection_lost, "unused"});
    }
}

/// Sends on an open connection. The connection may end with it, and its link with that.
void send(peer_connections& self, std::string const& address, std::uint64_t number,
          wire::message what)
{
    auto const connection = find_open(self, number);
    if (!connection)
    {
        return;
    }
    if (auto const sent = wire::send(*connection, std::move(what)); !sent)
    {
        base::log_line(base::log_level::warning, "peer_message_lost",
                       {{"address", address}, {"reason", sent.error().message}});
    }
    if (auto const at = self.outgoing.find(address); at != self.outgoing.end())
    {
        at->second.idle_timer =
            base::at(base::mono_now() + idle_time, [&self, number] { close_unused(self, number); });
    }
}

void on_connected(peer_connections& self, std::string const& address,
                  base::result<base::object_ptr<GSocket>> socket)
{
    if (!socket)
    {
        base::log_line(base::log_level::warning, "peer_unreachable",
                       {{"address", address}, {"reason", socket.error().message}});
        forget_link(self, address);
        return;
    }
    auto const number =
        keep(self, std::move(*socket), [&self, address] { forget_link(self, address); });
    auto& link = self.outgoing.at(address);
    link.connection = number;
    for (auto& message : std::exchange(link.waiting, {}))
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
                                  { keep(self, std::move(socket), [] {}); });
    if (!listening)
    {
        return tl::unexpected(listening.error());
    }
    self.listening = std::move(*listening);
    // Port 0 has become another one.
    self.address = address.substr(0, address.rfind(':') + 1) + std::to_string(self.listening->port);
    return {};
}

void send_to_peer(peer_connections& self, std::string const& address, wire::message what)
{
    auto const [at, is_new] = self.outgoing.try_emplace(address);
    if (at->second.connection != 0)
    {
        send(self, address, at->second.connection, std::move(what));
        return;
    }
    at->second.waiting.push_back(std::move(what));
    if (is_new)
    {
        wire::connect_to(address, [&self, address](base::result<base::object_ptr<GSocket>> socket)
                         { on_connected(self, address, std::move(socket)); });
    }
}

} // namespace gooseberrywood::gateway
