#include "gateway/peers.hpp"

#include "base/log.hpp"

#include <string>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration idle_time = std::chrono::seconds(15);

/// \param find the connection that the handlers are for.
wire::connection_handlers handlers_of(peers& self,
                                      std::function<std::shared_ptr<wire::connection>()> find,
                                      std::function<void()> forget)
{
    return {
        [&self, find = std::move(find)](wire::frame& received)
        {
            auto const from = find();
            if (from && !std::holds_alternative<wire::hello>(received.body))
            {
                self.on_message(*from, received.body);
            }
        },
        [forget = std::move(forget)](base::error const& why)
        {
            base::log_line(base::log_level::info, "peer_disconnected", {{"reason", why.message}});
            forget();
        },
        []
        {
            return wire::frame_stamp{};
        }};
}

void accept(peers& self, base::object_ptr<GSocket> socket)
{
    auto const number = ++self.accepted;
    self.incoming[number] =
        wire::make_connection(std::move(socket), self.own,
                              handlers_of(
                                  self, [&self, number] { return self.incoming[number]; },
                                  [&self, number] { self.incoming.erase(number); }));
}

void close_later(peers& self, std::string const& address)
{
    self.outgoing[address].idle_timer =
        base::at(base::mono_now() + idle_time,
                 [&self, address]
                 {
                     if (auto const at = self.outgoing.find(address); at != self.outgoing.end())
                     {
                         // The handler for closed connections forgets the link.
                         auto const connection = at->second.connection;
                         wire::close(*connection, {base::result_code::connection_lost, "unused"});
                     }
                 });
}

void on_connected(peers& self, std::string const& address,
                  base::result<base::object_ptr<GSocket>> socket)
{
    auto& link = self.outgoing[address];
    if (!socket)
    {
        base::log_line(base::log_level::warning, "peer_unreachable",
                       {{"address", address}, {"reason", socket.error().message}});
        self.outgoing.erase(address);
        return;
    }
    link.connection = wire::make_connection(
        std::move(*socket), self.own,
        handlers_of(
            self, [&self, address] { return self.outgoing[address].connection; },
            [&self, address] { self.outgoing.erase(address); }));
    for (auto& message : std::exchange(link.waiting, {}))
    {
        (void)wire::send(*link.connection, std::move(message));
    }
    close_later(self, address);
}

} // namespace

base::result<void> listen_for_peers(peers& self, std::string const& address)
{
    if (address.empty())
    {
        return {};
    }
    auto listening = wire::listen(address, [&self](base::object_ptr<GSocket> socket)
                                  { accept(self, std::move(socket)); });
    if (!listening)
    {
        return tl::unexpected(listening.error());
    }
    self.listening = std::move(*listening);
    // Port 0 has become another one.
    self.address = address.substr(0, address.rfind(':') + 1) + std::to_string(self.listening->port);
    return {};
}

void tell_peer(peers& self, std::string const& address, wire::message what)
{
    auto const [at, is_new] = self.outgoing.try_emplace(address);
    if (at->second.connection)
    {
        // A message that can't be sent is lost like one that is under way when a connection breaks.
        (void)wire::send(*at->second.connection, std::move(what));
        close_later(self, address);
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
