#include "base/hash.hpp"
#include "process/support/deployment.hpp"
#include "process/support/orders.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <sys/socket.h>

#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <future>

using namespace gooseberrywood;
using namespace gooseberrywood::test;

namespace
{

struct limits
{
    int fresh = 8;
    int max = 8;
    int warm_up_s = 0;
    int max_queued = 1000;
};

std::string make_bundle(limits const& l)
{
    return fmt::format(R"(
version = 1
deployment = "test"
domains = ["krapina", "zabok"]
[[teams]]
name = "zlatar"
key_hashes = ["{}"]
max_queued = {}
[[routes]]
name = "planner-lm"
kind = "model"
fresh_limit = {}
max_limit = {}
warm_up_s = {}
timeout_s = 60
[[routes]]
name = "stock"
kind = "service"
path_prefix = "/stock"
timeout_s = 30
fresh_limit = {}
max_limit = {}
warm_up_s = {}
)",
                       base::sha256_hex("zlatar-key"), l.max_queued, l.fresh, l.max, l.warm_up_s,
                       l.fresh, l.max, l.warm_up_s);
}

using flags = std::vector<std::string>;

std::vector<std::unique_ptr<upstream_standin>>
host_upstreams(std::string const& number, flags const& engine, flags service = {})
{
    service.emplace_back("--kind=service");
    std::vector<std::unique_ptr<upstream_standin>> out;
    out.push_back(make_upstream("planner-lm-" + number, "planner-lm", engine));
    out.push_back(make_upstream("stock-" + number, "stock", service));
    return out;
}

template <class Make>
std::vector<http_request> make_requests(int count, Make make)
{
    std::vector<http_request> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        out.push_back(make(i));
    }
    return out;
}

std::vector<http_response> fetch_all(std::vector<http_request> const& requests)
{
    std::vector<std::future<base::result<http_response>>> running;
    running.reserve(requests.size());
    for (auto const& r : requests)
    {
        running.push_back(std::async(std::launch::async, [&r] { return fetch(r); }));
    }
    std::vector<http_response> out;
    out.reserve(running.size());
    for (auto& r : running)
    {
        auto const got = r.get();
        REQUIRE(got.has_value());
        out.push_back(*got);
    }
    return out;
}

/// Sends raw bytes and returns what comes back until the peer closes or nothing comes for 5 s.
std::string exchange_raw(std::uint16_t port, std::string_view bytes)
{
    int const socket_number = socket(AF_INET, SOCK_STREAM, 0);
    timeval const patience_limit{5, 0};
    setsockopt(socket_number, SOL_SOCKET, SO_RCVTIMEO, &patience_limit, sizeof patience_limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(socket_number, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    (void)send(socket_number, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    (void)shutdown(socket_number, SHUT_WR);
    std::string out;
    std::array<char, 4096> buffer{};
    for (auto n = recv(socket_number, buffer.data(), buffer.size(), 0); n > 0;
         n = recv(socket_number, buffer.data(), buffer.size(), 0))
    {
        out.append(buffer.data(), static_cast<std::size_t>(n));
    }
    close(socket_number);
    return out;
}

} // namespace

SCENARIO("a request that crashes its upstreams is refused after two crashes")
{
    deployment d(make_bundle({}));
    flags const engine = {"--token_us=20000", "--crash_word=unravel"};
    for (std::string const n : {"1", "2", "3"})
    {
        add_agent(d, "h" + n, n == "1" ? "krapina" : "zabok", host_upstreams(n, engine));
    }
    auto& e = add_entry(d, "e1", "krapina");
    auto const count_dead = [&]
    {
        return std::count_if(d.agents.begin(), d.agents.end(),
                             [](auto const& a)
                             { return !fetch({a->upstreams[0]->url() + "/standin/stats"}); });
    };
    WHEN("it is sent while other requests of its team run")
    {
        auto harmless = std::async(
            std::launch::async,
            [&]
            {
                return fetch_all(make_requests(12,
                                               [&](int i) {
                                                   return completion(e, "zlatar-key",
                                                                     fmt::format("harmless {}", i),
                                                                     60, false);
                                               }));
            });
        REQUIRE(eventually([&] { return state_of(e.admin_port).at("request_count") >= 12; }));
        auto const first = fetch(completion(e, "zlatar-key", "unravel now", 20, false));
        REQUIRE(first.has_value());
        THEN("two upstreams die, the third lives, and the others' answers are whole")
        {
            CHECK(error_of(*first).at("name") == "upstream_crashed");
            CHECK(error_of(*first).at("not_run") == false);
            CHECK(count_dead() == 2);
            for (auto const& answer : harmless.get())
            {
                CHECK(answer.status == 200);
            }
            AND_THEN("the same request with a new id is refused at once")
            {
                auto const again = fetch(completion(e, "zlatar-key", "unravel now", 20, false));
                CHECK(error_of(*again).at("name") == "crash_suspect");
                CHECK(count_dead() == 2);
            }
        }
    }
}

// Guards against marks on requests that never reached an upstream, which would be refused as
// crashing after two idle upstreams had died.
SCENARIO("upstreams that died while they were idle don't count against a request")
{
    deployment d(make_bundle({}));
    for (std::string const n : {"1", "2", "3"})
    {
        add_agent(d, "h" + n, n == "1" ? "krapina" : "zabok", host_upstreams(n, {}));
    }
    auto& e = add_entry(d, "e1", "krapina");
    for (std::size_t i = 0; i < 2; ++i)
    {
        for (auto const& upstream : d.agents[i]->upstreams)
        {
            send_signal(*upstream->program, SIGKILL);
            (void)wait_exit(*upstream->program);
        }
    }
    for (int i = 0; i < 6; ++i)
    {
        auto const answer = fetch(completion(e, "zlatar-key", fmt::format("p {}", i), 4, false));
        REQUIRE(answer.has_value());
        CHECK(answer->status == 200);
        // Never sent to a dead service, so that it may be tried at the next one.
        auto const order = fetch(post_order(e, fmt::format("{{\"order\":{}}}", i)));
        REQUIRE(order.has_value());
        CHECK(order->status == 200);
    }
    CHECK(state_of(e.admin_port).at("suspects") == 0);
}

SCENARIO("a resend with the same Idempotency-Key does not run again")
{
    deployment d(make_bundle({}));
    d.agent_settings = "claim_horizon_s = 0\n";
    add_agent(d, "h1", "krapina", host_upstreams("1", {}));
    add_agent(d, "h2", "zabok", host_upstreams("2", {}));
    auto& first = add_entry(d, "e1", "krapina");
    auto& second = add_entry(d, "e2", "zabok");
    std::string const body = "{\"order\":3}";
    auto request = post_order(first, body);
    request.headers.emplace_back("Idempotency-Key", "order-3");
    auto const original = fetch(request);
    REQUIRE(original.has_value());
    CHECK(original->status == 200);
    auto const resend = [&](entry_host const& through)
    {
        request.url = through.url() + "/stock/order";
        auto const answer = fetch(request);
        REQUIRE(answer.has_value());
        CHECK(error_of(*answer).at("name") == "outcome_unknown");
        CHECK(order_executions(d, body) == 1);
    };
    WHEN("it comes through the same entry")
    {
        resend(first);
    }
    WHEN("it comes through another entry")
    {
        resend(second);
    }
    WHEN("one of the agents that remember it is gone")
    {
        send_signal(*d.agents[0]->program, SIGKILL);
        REQUIRE(eventually(
            [&]
            { return !state_of(second.admin_port).at("agents").at("h1").at("up").get<bool>(); }));
        resend(second);
    }
}

SCENARIO("agents that may have forgotten an Idempotency-Key do not let it run")
{
    deployment d(make_bundle({}));
    add_agent(d, "h1", "krapina", host_upstreams("1", {}));
    add_agent(d, "h2", "zabok", host_upstreams("2", {}));
    auto& e = add_entry(d, "e1", "krapina");
    std::string const body = "{\"order\":4}";
    auto request = post_order(e, body);
    request.headers.emplace_back("Idempotency-Key", "order-4");
    auto const answer = fetch(request);
    REQUIRE(answer.has_value());
    CHECK(error_of(*answer).at("name") == "outcome_unknown");
    CHECK(order_executions(d, body) == 0);
}

SCENARIO("a fresh upstream gets no more than it bears")
{
    deployment d(make_bundle({2, 8, 20, 1000}));
    add_agent(d, "h1", "krapina",
              host_upstreams(
                  "1", {"--token_us=2000", "--bears_fresh=2", "--bears_warm=8", "--warm_up_s=20"}));
    auto& e = add_entry(d, "e1", "krapina");
    auto const answers = fetch_all(make_requests(
        60,
        [&](int i) { return completion(e, "zlatar-key", fmt::format("batch {}", i), 20, false); }));
    auto const stats = get_json(d.agents[0]->upstreams[0]->url() + "/standin/stats");
    CHECK(stats.at("overload") == 0);
    // Guards against crossed answers, too: each has the text of its own prompt.
    std::vector<std::string> texts;
    for (auto const& answer : answers)
    {
        REQUIRE(answer.status == 200);
        texts.push_back(text_of(answer));
    }
    std::sort(texts.begin(), texts.end());
    CHECK(std::adjacent_find(texts.begin(), texts.end()) == texts.end());
}

SCENARIO("a refusal for overload is quick, honest and says when to come back")
{
    deployment d(make_bundle({1, 1, 0, 3}));
    add_agent(d, "h1", "krapina", host_upstreams("1", {}, {"--first_token_us=300000"}));
    auto& e = add_entry(d, "e1", "krapina");
    auto const requests = make_requests(
        20, [&](int i) { return post_order(e, fmt::format("{{\"order\":{}}}", 100 + i)); });
    auto const answers = fetch_all(requests);
    std::size_t refused = 0;
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        auto const ran = order_executions(d, requests[i].body);
        if (answers[i].status == 200)
        {
            CHECK(ran == 1);
            continue;
        }
        ++refused;
        CHECK(answers[i].status == 429);
        CHECK(error_of(answers[i]).at("not_run") == true);
        CHECK(ran == 0);
        auto const& headers = answers[i].headers;
        CHECK(std::any_of(headers.begin(), headers.end(),
                          [](auto const& h) { return h.first == "Retry-After"; }));
    }
    CHECK(refused > 0);
}

SCENARIO("hostile bytes on any port are refused and harm nobody")
{
    deployment d(make_bundle({}));
    auto& a = add_agent(d, "h1", "krapina", host_upstreams("1", {}));
    auto& e = add_entry(d, "e1", "krapina");
    std::string const zeros(100'000, '\0');
    std::string const too_long = std::string("\xff\xff\xff\x7f", 4) + zeros;
    std::string const not_a_frame = std::string("\x10\x00\x00\x00", 4) + std::string(16, 'x');
    for (auto const port : {e.http_port, e.admin_port, a.wire_port, a.admin_port})
    {
        for (auto const& bytes :
             {std::string("GET"), zeros, too_long, not_a_frame, std::string("\x01"),
              "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(200'000, 'y') + "\r\n\r\n",
              std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n"),
              std::string("POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\nx")})
        {
            (void)exchange_raw(port, bytes);
        }
    }
    // Nested so deeply that a recursive writer would exhaust its stack.
    auto const deep = "{\"model\":\"planner-lm\",\"messages\":" + std::string(500'000, '[') +
                      std::string(500'000, ']') + "}";
    std::vector<std::string> const bodies = {
        deep,
        "",
        "{",
        "[]",
        "{\"model\":1}",
        "{\"model\":\"planner-lm\"}",
        "{\"model\":\"planner-lm\",\"prompt\":\"x\",\"max_tokens\":-1}",
        "{\"model\":\"planner-lm\",\"prompt\":\"x\",\"stream\":\"yes\"}"};
    for (auto const& body : bodies)
    {
        auto request = completion(e, "zlatar-key", "", 1, false);
        request.body = body;
        if (body == deep)
        {
            request.url = e.url() + "/v1/chat/completions";
        }
        auto const answer = fetch(request);
        REQUIRE(answer.has_value());
        CHECK(answer->status == 400);
        CHECK(error_of(*answer).at("name") == "bad_request");
    }
    auto const after = fetch(completion(e, "zlatar-key", "still here", 4, false));
    REQUIRE(after.has_value());
    CHECK(after->status == 200);
}
