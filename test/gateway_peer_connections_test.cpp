#include "gateway/peer_connections.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywood;
using namespace std::chrono_literals;

namespace
{

/// Runs the main loop until something holds, for a few seconds at most.
template <class Condition>
bool run_until(Condition const& holds)
{
    bool is_late = false;
    auto const limit = base::at(base::mono_now() + 5s, [&] { is_late = true; });
    while (!holds() && !is_late)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    return holds();
}

wire::store_answer numbered(std::uint64_t number, std::size_t bytes = 0)
{
    return {number, 200, true, std::string(bytes, 'x')};
}

/// A gateway's connections, and the numbers of the messages that it has taken.
struct talking_gateway
{
    explicit talking_gateway(std::string host)
    {
        own.own.host = std::move(host);
        own.on_message = [this](wire::connection& from, wire::message const& got)
        {
            auto const number = std::get<wire::store_answer>(got).number;
            taken.push_back(number);
            if (answers)
            {
                (void)wire::send(from, numbered(number + 100));
            }
        };
        REQUIRE(gateway::listen_for_peers(own, "127.0.0.1:0").has_value());
    }
    talking_gateway(talking_gateway const&) = delete;
    talking_gateway& operator=(talking_gateway const&) = delete;

    gateway::peer_connections own;
    std::vector<std::uint64_t> taken;
    bool answers = false;
};

} // namespace

SCENARIO("gateways talk to each other")
{
    talking_gateway a("a");
    talking_gateway b("b");
    b.answers = true;
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        gateway::send_to_peer(a.own, b.own.address, numbered(number));
    }
    THEN("messages arrive in order, and their answers come back on the same connection")
    {
        CHECK(run_until([&] { return a.taken.size() == 3; }));
        CHECK(b.taken == std::vector<std::uint64_t>{1, 2, 3});
        CHECK(a.taken == std::vector<std::uint64_t>{101, 102, 103});
        CHECK(b.own.outgoing.empty());
    }
}

SCENARIO("a gateway can't be reached")
{
    // Guards against callers that wait for an answer that can't come.
    talking_gateway a("a");
    std::vector<std::string> lost;
    a.own.on_disconnected = [&](std::string const& address)
    {
        lost.push_back(address);
    };
    gateway::send_to_peer(a.own, "127.0.0.1:1", numbered(1));
    THEN("this is said at once")
    {
        CHECK(run_until([&] { return !lost.empty(); }));
        CHECK(lost == std::vector<std::string>{"127.0.0.1:1"});
        CHECK(a.own.outgoing.empty());
    }
}

SCENARIO("a gateway does not read what it is told")
{
    // Guards against a closed connection that is used on, or that keeps a new one from being
    // opened.
    std::vector<base::object_ptr<GSocket>> accepted;
    auto const silent = wire::listen("127.0.0.1:0", [&](base::object_ptr<GSocket> socket)
                                     { accepted.push_back(std::move(socket)); });
    REQUIRE(silent.has_value());
    auto const address = "127.0.0.1:" + std::to_string((*silent)->port);
    talking_gateway a("a");
    constexpr std::size_t long_message = 1'900'000;
    for (std::uint64_t number = 0; number < 24; ++number)
    {
        gateway::send_to_peer(a.own, address, numbered(number, long_message));
    }
    CHECK(run_until([&] { return !accepted.empty() && a.own.outgoing.empty(); }));
    WHEN("there is something to tell it again")
    {
        gateway::send_to_peer(a.own, address, numbered(99));
        THEN("a new connection is opened")
        {
            CHECK(run_until([&] { return accepted.size() == 2; }));
        }
    }
}
