#include "run_loop.hpp"
#include "wire/connection.hpp"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <array>
#include <memory>
#include <string>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// Two connected sockets.
std::array<base::object_ptr<GSocket>, 2> make_sockets()
{
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    return {base::object_ptr<GSocket>(g_socket_new_from_fd(ends[0], nullptr)),
            base::object_ptr<GSocket>(g_socket_new_from_fd(ends[1], nullptr))};
}

/// Sends until the queue of a peer that does not read is full.
/// \returns the error of the last send.
base::error fill(wire::connection& to)
{
    for (;;)
    {
        wire::chunk message;
        message.tokens = 1;
        message.bytes = std::string(1024 * 1024, 'x');
        if (auto const sent = wire::send(to, message); !sent)
        {
            return sent.error();
        }
    }
}

} // namespace

SCENARIO("the send queue of a peer fills while a handler sends to it")
{
    // Guards against a connection that is closed within a send: its owner removed what the sender
    // went on to use.
    auto sockets = make_sockets();
    bool is_sending = false;
    int closed = 0;
    int closed_while_sending = 0;
    wire::connection_handlers handlers;
    handlers.stamp = []
    {
        return wire::frame_stamp{};
    };
    handlers.on_frame = [](wire::frame&) {
    };
    handlers.on_closed = [&](base::error const&)
    {
        ++closed;
        closed_while_sending += is_sending ? 1 : 0;
    };
    auto const connection = wire::make_connection(std::move(sockets[0]), wire::hello{}, handlers);
    is_sending = true;
    CHECK(fill(*connection).code == base::result_code::connection_lost);
    CHECK_FALSE(wire::send(*connection, wire::ping{}).has_value());
    is_sending = false;
    CHECK(closed_while_sending == 0);
    THEN("the main loop closes the connection once")
    {
        CHECK(test::run_until([&] { return closed > 0; }));
        test::run_for(20ms);
        CHECK(closed == 1);
        CHECK(connection->closed);
    }
}

SCENARIO("the owner of a connection releases it in the handler of its end")
{
    // Guards against handlers that are destroyed while one of them runs.
    auto sockets = make_sockets();
    std::shared_ptr<wire::connection> connection;
    auto const text = std::make_shared<std::string>("still here");
    std::string seen;
    wire::connection_handlers handlers;
    handlers.stamp = []
    {
        return wire::frame_stamp{};
    };
    handlers.on_frame = [](wire::frame&) {
    };
    handlers.on_closed = [&, text = std::weak_ptr(text), kept = text](base::error const&)
    {
        connection.reset();
        seen = *text.lock();
    };
    connection = wire::make_connection(std::move(sockets[0]), wire::hello{}, std::move(handlers));
    wire::close(*connection, {base::result_code::connection_lost, "over"});
    CHECK(seen == "still here");
    CHECK(connection == nullptr);
}
