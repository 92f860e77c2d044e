#include "run_loop.hpp"
#include "wire/codec.hpp"
#include "wire/connection.hpp"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <array>
#include <memory>
#include <thread>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// Sends a frame on a socket without the main loop.
void send_now(int descriptor, wire::message const& body)
{
    auto const bytes = wire::encode({wire::frame_stamp{}, base::wall_now(), 0, 0, body});
    REQUIRE(bytes.has_value());
    REQUIRE(send(descriptor, bytes->data(), bytes->size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes->size()));
}

} // namespace

SCENARIO("the main loop is late when a peer's silence is judged")
{
    // Guards against connections that are closed over frames that have arrived, so that calls on
    // them have no outcome and their peers seem to be gone.
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    base::object_ptr<GSocket> const peer(g_socket_new_from_fd(ends[1], nullptr));
    std::shared_ptr<wire::connection> connection;
    bool sends_in_time = false;
    int steps = 0;
    // Attached before the connection, and therefore called before its timer in each round of the
    // loop.
    auto const late = base::every(1ms,
                                  [&]
                                  {
                                      ++steps;
                                      if (steps == 1)
                                      {
                                          std::this_thread::sleep_for(wire::ping_interval + 100ms);
                                          return;
                                      }
                                      if (steps == 2 && sends_in_time)
                                      {
                                          send_now(ends[1], wire::hello{});
                                      }
                                  });
    bool is_closed = false;
    wire::connection_handlers handlers;
    handlers.stamp = []
    {
        return wire::frame_stamp{};
    };
    handlers.on_frame = [](wire::frame&) {
    };
    handlers.on_closed = [&](base::error const&)
    {
        is_closed = true;
    };
    connection = wire::make_connection(
        base::object_ptr<GSocket>(g_socket_new_from_fd(ends[0], nullptr)), wire::hello{}, handlers);
    connection->silence_deadline = base::mono_now() + 500ms;
    WHEN("a frame arrived before the loop goes on")
    {
        sends_in_time = true;
        CHECK(test::run_until([&] { return steps > 20; }));
        CHECK_FALSE(is_closed);
        CHECK(connection->peer.has_value());
    }
    WHEN("nothing arrived")
    {
        CHECK(test::run_until([&] { return is_closed; }));
    }
}
