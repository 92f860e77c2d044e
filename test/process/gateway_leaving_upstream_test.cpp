#include "process/support/eventually.hpp"
#include "process/support/job_checks.hpp"
#include "process/support/site_service.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace gooseberrywood::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// Gateways read the list of upstreams each 0.6 s here.
constexpr auto list_time = 1500ms;

std::size_t arrivals_at(site_service const& service, std::string const& id)
{
    return upstream_state(service, id).at("arrivals_us").size();
}

void forget_arrivals(site_service const& service, std::string const& id)
{
    set_site(service, "upstream", {{"id", id}, {"forget_arrivals", true}});
}

bool states_leaving(http_response const& answer)
{
    return std::any_of(answer.headers.begin(), answer.headers.end(),
                       [](auto const& header)
                       { return header.first == "Server-Leaving" && header.second == "1"; });
}

http_response look_up(gateway_under_test const& at, std::string const& id)
{
    return call_gateway(at, "POST", "/q/1", "desk.example", id);
}

/// Sends lookups until an answer states that its upstream leaves.
bool hears_of_departure(gateway_under_test const& at, std::string const& name)
{
    int tries = 0;
    return eventually([&]
                      { return states_leaving(look_up(at, fmt::format("{}-{}", name, ++tries))); });
}

/// Number of lookups of all gateways, one after another, that are answered with this status.
int count_answers(site_service const& service, std::string const& name, unsigned status)
{
    constexpr int each = 10;
    int count = 0;
    for (std::size_t i = 0; i < service.gateways.size(); ++i)
    {
        for (int k = 0; k < each; ++k)
        {
            auto const answer = look_up(service.gateways[i], fmt::format("{}-{}-{}", name, i, k));
            count += answer.status == status ? 1 : 0;
        }
    }
    return count;
}

constexpr int all_answers = 30;

} // namespace

SCENARIO("an upstream that states in its answers that it leaves gets no more requests")
{
    // Guards against requests to an upstream that leaves while its entry goes on to say `ready`.
    site_service service(3);
    set_site(service, "upstream", {{"id", "desk-0"}, {"states_leaving", true}});
    for (std::size_t i = 0; i < service.gateways.size(); ++i)
    {
        REQUIRE(hears_of_departure(service.gateways[i], fmt::format("first-{}", i)));
        CHECK(wait_event(*service.gateways[i].program, "upstream_leaving").at("upstream") ==
              "desk-0");
    }
    forget_arrivals(service, "desk-0");
    THEN("it gets none from then on, and the lists that say that it is ready change nothing")
    {
        CHECK(count_answers(service, "at-once", 200) == all_answers);
        std::this_thread::sleep_for(list_time);
        CHECK(count_answers(service, "later", 200) == all_answers);
        CHECK(arrivals_at(service, "desk-0") == 0);
    }
    WHEN("the store refuses all calls")
    {
        set_site(service, "store", {{"mode", "refuses"}});
        std::this_thread::sleep_for(1s);
        CHECK(count_answers(service, "down", 200) == all_answers);
        set_site(service, "store", {{"mode", "serves"}});
        std::this_thread::sleep_for(list_time);
        CHECK(count_answers(service, "back", 200) == all_answers);
        CHECK(arrivals_at(service, "desk-0") == 0);
    }
    WHEN("its entry expires and comes back")
    {
        set_site(service, "upstream", {{"id", "desk-0"}, {"listed", false}});
        for (auto const& gateway : service.gateways)
        {
            (void)wait_event(*gateway.program, "upstream_removed");
        }
        set_site(service, "upstream", {{"id", "desk-0"}});
        std::this_thread::sleep_for(list_time);
        CHECK(count_answers(service, "listed-again", 200) == all_answers);
        CHECK(arrivals_at(service, "desk-0") == 0);
    }
    WHEN("it starts again under its id")
    {
        set_site(service, "upstream", {{"id", "desk-0"}, {"states_leaving", false}, {"born", 2}});
        THEN("it serves again")
        {
            CHECK(eventually(
                [&]
                {
                    (void)count_answers(service, "restarted", 200);
                    return arrivals_at(service, "desk-0") > 0;
                }));
        }
    }
    WHEN("all others leave as well")
    {
        set_site(service, "upstream", {{"id", "desk-1"}, {"states_leaving", true}});
        for (std::size_t i = 0; i < service.gateways.size(); ++i)
        {
            REQUIRE(hears_of_departure(service.gateways[i], fmt::format("other-{}", i)));
        }
        forget_arrivals(service, "desk-1");
        THEN("lookups are refused soon, and run nowhere")
        {
            auto const begin = std::chrono::steady_clock::now();
            CHECK(count_answers(service, "none", 503) == all_answers);
            CHECK(std::chrono::steady_clock::now() - begin < all_answers * 200ms);
            CHECK(arrivals_at(service, "desk-0") == 0);
            CHECK(arrivals_at(service, "desk-1") == 0);
        }
    }
}

SCENARIO("refusals state that an upstream leaves as well")
{
    site_service service(1);
    auto const& gateway = service.gateways[0];
    set_site(service, "upstream", {{"id", "desk-0"}, {"states_leaving", true}, {"refuses", true}});
    int number = 0;
    auto const look_up_next = [&]
    {
        return look_up(gateway, fmt::format("r{}", ++number)).status;
    };
    REQUIRE(eventually(
        [&]
        {
            (void)look_up_next();
            return has_event(*gateway.program, "upstream_leaving");
        }));
    forget_arrivals(service, "desk-0");
    for (int i = 0; i < 20; ++i)
    {
        CHECK(look_up_next() == 200);
    }
    CHECK(arrivals_at(service, "desk-0") == 0);
}

SCENARIO("samples and reward calls avoid upstreams that state that they leave")
{
    site_service service(2);
    set_site(service, "upstream", {{"id", "engines-0"}, {"states_leaving", true}});
    set_site(service, "upstream", {{"id", "desk-0"}, {"states_leaving", true}});
    // All samples of the first job may be sent before the first answer.
    std::vector<int> const first(8, 3);
    REQUIRE(submit(service.gateways[0], "first", first) == 202);
    check_whole(wait_results(service.gateways[0], "first", first.size()), "first", first);
    REQUIRE(upstream_state(service, "engines-0").at("arrivals_us").size() > 0);
    REQUIRE(upstream_state(service, "desk-0").at("arrivals_us").size() > 0);
    std::this_thread::sleep_for(list_time);
    forget_arrivals(service, "engines-0");
    forget_arrivals(service, "desk-0");
    std::vector<int> const second(24, 4);
    REQUIRE(submit(service.gateways[0], "second", second) == 202);
    check_whole(wait_results(service.gateways[0], "second", second.size()), "second", second);
    CHECK(arrivals_at(service, "engines-0") == 0);
    CHECK(arrivals_at(service, "desk-0") == 0);
}

namespace
{

/// An upstream whose connections are not accepted, so that requests to it wait for theirs.
struct deaf_upstream
{
    deaf_upstream() : listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        if (bind(listener, generic, size) != 0 || listen(listener, 0) != 0 ||
            getsockname(listener, generic, &size) != 0)
        {
            throw std::runtime_error("no loopback port");
        }
        fill_backlog();
    }
    deaf_upstream(deaf_upstream const&) = delete;
    deaf_upstream& operator=(deaf_upstream const&) = delete;
    ~deaf_upstream()
    {
        is_over = true;
        shutdown(listener, SHUT_RDWR);
        if (acceptor.joinable())
        {
            acceptor.join();
        }
        for (auto const connection : connections)
        {
            close(connection);
        }
        close(listener);
    }

    /// Connects until a connection has to wait.
    void fill_backlog()
    {
        for (int i = 0; i < 16; ++i)
        {
            connections.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            (void)connect(connections.back(), reinterpret_cast<sockaddr const*>(&address),
                          sizeof address);
            pollfd waiting{connections.back(), POLLOUT, 0};
            if (poll(&waiting, 1, 100) == 0)
            {
                return;
            }
        }
        throw std::runtime_error("the backlog does not fill");
    }

    /// Accepts all connections from now on, and counts those that carry a request.
    void listen_up()
    {
        acceptor = std::thread(
            [this]
            {
                while (!is_over)
                {
                    pollfd waiting{listener, POLLIN, 0};
                    if (poll(&waiting, 1, 20) > 0)
                    {
                        connections.push_back(accept(listener, nullptr, nullptr));
                        ++accepted;
                    }
                    count_requests();
                }
            });
    }

    void count_requests()
    {
        for (auto& connection : connections)
        {
            std::string bytes(4096, '\0');
            if (connection >= 0 && recv(connection, bytes.data(), bytes.size(), MSG_DONTWAIT) > 0)
            {
                ++requests;
                close(std::exchange(connection, -1));
            }
        }
    }

    /// Writes its entry into the store.
    void announce(site_service const& to, std::string const& state) const
    {
        set_site(to, "put",
                 {{"key", "servers/a-deaf"},
                  {"value",
                   {{"service", "engines"},
                    {"address", fmt::format("127.0.0.1:{}", ntohs(address.sin_port))},
                    {"zone", "zabok"},
                    {"version", "v1"},
                    {"slots", 1000},
                    {"state", state},
                    {"cold_remaining_ms", 0},
                    {"models", {{{"name", "m"}, {"version", 1}}}},
                    {"seq", 1},
                    {"born", 1}}}});
    }

    int listener;
    sockaddr_in address{};
    std::vector<int> connections;
    std::atomic<bool> is_over = false;
    std::atomic<int> accepted = 0;
    std::atomic<int> requests = 0;
    std::thread acceptor;
};

} // namespace

SCENARIO("a request that waits for its connection is not sent once its upstream leaves")
{
    // Guards against requests that were chosen in time and reach an upstream after its departure.
    site_service service(1);
    auto const& gateway = service.gateways[0];
    deaf_upstream deaf;
    deaf.announce(service, "ready");
    (void)wait_event(*gateway.program, "upstream_added",
                     [](json const& line) { return line.at("upstream") == "a-deaf"; });
    auto const call = [&]
    {
        return call_gateway(gateway, "POST", "/s/1", "chat.example", "c1", "3").status;
    };
    auto const check_sent_elsewhere = [&](unsigned status)
    {
        CHECK(status == 200);
        std::this_thread::sleep_for(1500ms);
        CHECK(deaf.accepted > 0);
        CHECK(deaf.requests == 0);
        CHECK(site_state(service).at("runs").at("c1") == 1);
    };
    WHEN("a stream of a caller waits, and the upstream drains")
    {
        auto answer = std::async(std::launch::async, call);
        std::this_thread::sleep_for(100ms);
        deaf.announce(service, "draining");
        (void)wait_event(*gateway.program, "upstream_draining");
        deaf.listen_up();
        THEN("another upstream runs it")
        {
            check_sent_elsewhere(answer.get());
        }
    }
    WHEN("a stream of a caller waits, and the upstream's failure domain is taken out")
    {
        auto answer = std::async(std::launch::async, call);
        std::this_thread::sleep_for(100ms);
        set_site(service, "put", {{"key", "op/evacuate/zabok"}, {"value", json::object()}});
        (void)wait_event(*gateway.program, "domains_out_changed");
        deaf.listen_up();
        THEN("another upstream runs it")
        {
            check_sent_elsewhere(answer.get());
        }
    }
    WHEN("samples wait, and the upstream drains")
    {
        std::vector<int> const events(8, 5);
        REQUIRE(submit(gateway, "job", events) == 202);
        std::this_thread::sleep_for(100ms);
        deaf.announce(service, "draining");
        (void)wait_event(*gateway.program, "upstream_draining");
        deaf.listen_up();
        THEN("others run them")
        {
            check_whole(wait_results(gateway, "job", events.size()), "job", events);
            CHECK(has_event(*gateway.program, "run_withdrawn"));
            std::this_thread::sleep_for(1500ms);
            CHECK(deaf.requests == 0);
        }
    }
}
