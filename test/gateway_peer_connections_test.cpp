#include "gateway/peer_connections.hpp"
#include "run_loop.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;
using test::run_until;

namespace
{

wire::store_answer numbered_message(std::uint64_t number, std::size_t bytes = 0)
{
    return {number, 200, true, std::string(bytes, 'x')};
}

/// Connections of a gateway that records the numbers of the messages that it receives.
struct test_gateway
{
    explicit test_gateway(std::string host)
    {
        connections.own_hello.host = std::move(host);
        connections.on_message = [this](wire::connection& from, wire::message const& message)
        {
            auto const number = std::get<wire::store_answer>(message).number;
            received.push_back(number);
            if (answers)
            {
                (void)wire::send(from, numbered_message(number + 100));
            }
        };
        REQUIRE(gateway::listen_for_peers(connections, "127.0.0.1:0").has_value());
    }
    test_gateway(test_gateway const&) = delete;
    test_gateway& operator=(test_gateway const&) = delete;

    gateway::peer_connections connections;
    std::vector<std::uint64_t> received;
    bool answers = false;
};

} // namespace

SCENARIO("gateways exchange messages")
{
    test_gateway a("a");
    test_gateway b("b");
    b.answers = true;
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        gateway::send_to_peer(a.connections, b.connections.address, numbered_message(number));
    }
    THEN("messages arrive in order, and their answers come back on the same connection")
    {
        CHECK(run_until([&] { return a.received.size() == 3; }));
        CHECK(b.received == std::vector<std::uint64_t>{1, 2, 3});
        CHECK(a.received == std::vector<std::uint64_t>{101, 102, 103});
        CHECK(b.connections.outgoing.empty());
    }
}

SCENARIO("a gateway reports that a peer can't be reached")
{
    // Guards against waiting until the timeout for an answer that can't come.
    test_gateway a("a");
    std::vector<std::string> disconnected;
    a.connections.on_disconnected = [&](std::string const& address)
    {
        disconnected.push_back(address);
    };
    gateway::send_to_peer(a.connections, "127.0.0.1:1", numbered_message(1));
    THEN("the failure is reported at once")
    {
        CHECK(run_until([&] { return !disconnected.empty(); }));
        CHECK(disconnected == std::vector<std::string>{"127.0.0.1:1"});
        CHECK(a.connections.outgoing.empty());
    }
}

SCENARIO("a peer does not read the messages that it is sent")
{
    // Guards against a closed connection that is still used or keeps a new one from being opened.
    std::vector<base::object_ptr<GSocket>> accepted;
    auto const unread_listener = wire::listen("127.0.0.1:0", [&](base::object_ptr<GSocket> socket)
                                              { accepted.push_back(std::move(socket)); });
    REQUIRE(unread_listener.has_value());
    auto const address = "127.0.0.1:" + std::to_string((*unread_listener)->port);
    test_gateway a("a");
    constexpr std::size_t message_bytes = 1'900'000;
    for (std::uint64_t number = 0; number < 24; ++number)
    {
        gateway::send_to_peer(a.connections, address, numbered_message(number, message_bytes));
    }
    CHECK(run_until([&] { return !accepted.empty() && a.connections.outgoing.empty(); }));
    WHEN("another message is sent to it")
    {
        gateway::send_to_peer(a.connections, address, numbered_message(99));
        THEN("a new connection is opened")
        {
            CHECK(run_until([&] { return accepted.size() == 2; }));
        }
    }
}
