// Stand-ins of the review: the platform's store, workers, consumers and the platform's supervision
// of processes, on loopback addresses. They do what the users' pages say and nothing else.
#ifndef REVIEW_FLEET_HPP
#define REVIEW_FLEET_HPP

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

inline steady::time_point const test_begin = steady::now();

/// Seconds since the start of the test.
inline double now_s()
{
    return std::chrono::duration<double>(steady::now() - test_begin).count();
}

inline std::mutex record_mutex;
inline std::FILE* record_file = nullptr;

/// Writes a line of record.txt.
template <class... Args>
void record(char const* format, Args... args)
{
    std::lock_guard const lock(record_mutex);
    if (record_file == nullptr)
    {
        return;
    }
    std::fprintf(record_file, "%8.3f ", now_s());
    if constexpr (sizeof...(args) == 0)
    {
        std::fputs(format, record_file);
    }
    else
    {
        std::fprintf(record_file, format, args...);
    }
    std::fputc('\n', record_file);
    std::fflush(record_file);
}

inline std::string base64(std::string const& bytes)
{
    static char const* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned n = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            n = n << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            text += k <= bytes.size() - i ? digits[n >> (18 - 6 * k) & 63] : '=';
        }
    }
    return text;
}

inline std::string unbase64(std::string const& text)
{
    auto const value = [](char c) -> int
    {
        return c >= 'A' && c <= 'Z'   ? c - 'A'
               : c >= 'a' && c <= 'z' ? c - 'a' + 26
               : c >= '0' && c <= '9' ? c - '0' + 52
               : c == '+'             ? 62
               : c == '/'             ? 63
                                      : -1;
    };
    std::string bytes;
    unsigned n = 0;
    int bits = 0;
    for (char const c : text)
    {
        int const v = value(c);
        if (v < 0)
        {
            continue;
        }
        n = n << 6 | static_cast<unsigned>(v);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes += static_cast<char>(n >> bits & 255);
        }
    }
    return bytes;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// A message head and its body.
struct message
{
    /// Method and target, or status.
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(std::string const& name) const
    {
        auto const at = headers.find(lower(name));
        return at != headers.end() ? at->second : "";
    }
    std::string path() const
    {
        return target.substr(0, target.find('?'));
    }
    std::string query(std::string const& name) const
    {
        auto const begin = target.find('?');
        if (begin == std::string::npos)
        {
            return "";
        }
        std::stringstream pairs(target.substr(begin + 1));
        for (std::string pair; std::getline(pairs, pair, '&');)
        {
            if (pair.rfind(name + "=", 0) == 0)
            {
                std::string decoded;
                auto const text = pair.substr(name.size() + 1);
                for (std::size_t i = 0; i < text.size(); ++i)
                {
                    if (text[i] == '%' && i + 2 < text.size())
                    {
                        decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                        i += 2;
                    }
                    else
                    {
                        decoded += text[i];
                    }
                }
                return decoded;
            }
        }
        return "";
    }
};

/// A blocking connection with a read buffer.
struct connection
{
    int fd = -1;
    std::string buffer;

    explicit connection(int socket) : fd(socket)
    {
    }
    connection(connection const&) = delete;
    ~connection()
    {
        if (fd >= 0)
        {
            ::close(fd);
        }
    }
    bool fill()
    {
        char bytes[16384];
        auto const count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    bool line(std::string& text)
    {
        for (;;)
        {
            auto const end = buffer.find('\n');
            if (end != std::string::npos)
            {
                text = buffer.substr(0, end);
                buffer.erase(0, end + 1);
                if (!text.empty() && text.back() == '\r')
                {
                    text.pop_back();
                }
                return true;
            }
            if (!fill())
            {
                return false;
            }
        }
    }
    bool take(std::size_t size, std::string& bytes)
    {
        while (buffer.size() < size)
        {
            if (!fill())
            {
                return false;
            }
        }
        bytes = buffer.substr(0, size);
        buffer.erase(0, size);
        return true;
    }
    bool send(std::string const& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            auto const count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
            {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /// Whether the peer has closed the connection.
    bool is_closed() const
    {
        char byte = 0;
        return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }
    bool read(message& m)
    {
        std::string first;
        if (!line(first))
        {
            return false;
        }
        std::stringstream words(first);
        std::string a;
        std::string b;
        words >> a >> b;
        m = {};
        if (a.rfind("HTTP/", 0) == 0)
        {
            m.status = std::atoi(b.c_str());
        }
        else
        {
            m.method = a;
            m.target = b;
        }
        for (std::string text; line(text) && !text.empty();)
        {
            auto const colon = text.find(':');
            auto value = colon == std::string::npos ? "" : text.substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
            {
                value.erase(0, 1);
            }
            m.headers[lower(text.substr(0, colon))] = value;
        }
        if (lower(m.header("Transfer-Encoding")) == "chunked")
        {
            for (std::string size; line(size);)
            {
                auto const count = std::strtoul(size.c_str(), nullptr, 16);
                std::string chunk;
                if (!take(count + 2, chunk))
                {
                    return false;
                }
                if (count == 0)
                {
                    return true;
                }
                m.body += chunk.substr(0, count);
            }
            return false;
        }
        if (!m.header("Content-Length").empty())
        {
            return take(std::strtoul(m.header("Content-Length").c_str(), nullptr, 10), m.body);
        }
        return true;
    }
};

inline int connect_to(int port, int timeout_ms)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    {
        ::close(fd);
        return -1;
    }
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Sends a request on a new connection. Status 0: no answer.
inline message call(int port, std::string const& method, std::string const& target,
                    std::vector<std::pair<std::string, std::string>> const& headers,
                    std::string const& body, int timeout_ms)
{
    message answer;
    int const fd = connect_to(port, timeout_ms);
    if (fd < 0)
    {
        return answer;
    }
    connection c(fd);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (auto const& [name, value] : headers)
    {
        text += name + ": " + value + "\r\n";
    }
    text +=
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!c.send(text) || !c.read(answer))
    {
        answer.status = 0;
    }
    return answer;
}

inline std::string response(int status,
                            std::vector<std::pair<std::string, std::string>> const& headers,
                            std::string const& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : headers)
    {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a free loopback port, each served by a thread of its own.
struct server
{
    int fd = -1;
    int port = 0;
    /// Serves one request. Returns false to close the connection.
    std::function<bool(connection&, message const&)> serve;

    void start(std::function<bool(connection&, message const&)> handler)
    {
        serve = std::move(handler);
        fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd, 512) != 0)
        {
            std::perror("listen");
            std::exit(2);
        }
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        port = ntohs(at.sin_port);
        std::thread(
            [this]
            {
                for (;;)
                {
                    int const accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                    if (accepted < 0)
                    {
                        std::this_thread::sleep_for(1ms);
                        continue;
                    }
                    int const on = 1;
                    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    std::thread(
                        [this, accepted]
                        {
                            connection c(accepted);
                            message m;
                            while (c.read(m) && serve(c, m))
                            {
                            }
                        })
                        .detach();
                }
            })
            .detach();
    }
};

/// The platform's store and, at the same address, its API for usage reports.
struct store
{
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        std::chrono::milliseconds length{};
        steady::time_point ends_at{};
    };

    std::mutex mutex;
    std::map<std::string, item> items;
    std::map<std::uint64_t, lease> leases;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    std::atomic<std::uint64_t> calls = 0;
    /// Time of an answer, as the sheets of both sites say.
    std::chrono::milliseconds latency = 4ms;
    /// How long the last complete reading of a list that starts with `timed_prefix` took.
    std::string timed_prefix;
    std::atomic<double> list_read_s = 0;
    server http;

    void put(std::string const& key, std::string const& value)
    {
        std::lock_guard const lock(mutex);
        items[key] = {value, ++revision, 0};
    }
    void put(std::string const& key, json const& value)
    {
        put(key, value.dump());
    }
    void remove(std::string const& key)
    {
        std::lock_guard const lock(mutex);
        ++revision;
        items.erase(key);
    }
    std::optional<std::string> get(std::string const& key)
    {
        std::lock_guard const lock(mutex);
        auto const at = items.find(key);
        return at != items.end() ? std::optional(at->second.value) : std::nullopt;
    }
    void start()
    {
        http.start(
            [this](connection& c, message const& m)
            {
                ++calls;
                std::this_thread::sleep_for(latency);
                auto const [status, body] = answer(m);
                return c.send(response(status, {{"Content-Type", "application/json"}}, body));
            });
    }

private:
    double list_begin = 0;

    static json shown(std::string const& key, item const& i)
    {
        return {{"key", key},
                {"value", base64(i.value)},
                {"revision", i.revision},
                {"created", i.revision},
                {"lease", i.lease}};
    }
    void end_lease(std::uint64_t id)
    {
        leases.erase(id);
        std::erase_if(items, [&](auto const& entry)
                      { return entry.second.lease == id && ++revision > 0; });
    }
    void expire()
    {
        std::vector<std::uint64_t> ended;
        for (auto const& [id, l] : leases)
        {
            if (steady::now() >= l.ends_at)
            {
                ended.push_back(id);
            }
        }
        for (auto const id : ended)
        {
            end_lease(id);
        }
    }
    std::pair<int, std::string> answer(message const& m)
    {
        std::lock_guard const lock(mutex);
        expire();
        auto const path = m.path();
        auto const number = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (path == "/-/kv-key")
        {
            auto const at = items.find(m.query("key"));
            if (at == items.end())
            {
                return {404, json{{"current_rev", revision}}.dump()};
            }
            auto body = shown(at->first, at->second);
            body["current_rev"] = revision;
            return {200, body.dump()};
        }
        if (path == "/-/kv-range")
        {
            return {200, range(m.query("prefix"), m.query("after"))};
        }
        if (path == "/-/kv-txn")
        {
            return transact(json::parse(m.body));
        }
        if (path == "/-/kv-lease")
        {
            auto const ttl = json::parse(m.body).at("ttl_ms").get<int>();
            leases[++last_lease] = {std::chrono::milliseconds(ttl),
                                    steady::now() + std::chrono::milliseconds(ttl)};
            return {200, json{{"lease", last_lease}, {"ttl_ms", ttl}}.dump()};
        }
        if (path.rfind("/-/kv-keep/", 0) == 0)
        {
            auto const at = leases.find(number);
            if (at == leases.end())
            {
                return {404, "{}"};
            }
            at->second.ends_at = steady::now() + at->second.length;
            return {200, "{}"};
        }
        if (path.rfind("/-/kv-lease-end/", 0) == 0)
        {
            end_lease(number);
            return {200, "{}"};
        }
        return {path == "/usage" ? 200 : 404, "{}"};
    }
    /// A page holds at most 500 items and 1 MB.
    std::string range(std::string const& prefix, std::string const& after)
    {
        std::string body = "{\"items\":[";
        std::size_t count = 0;
        std::size_t bytes = 0;
        bool has_more = false;
        for (auto at = items.lower_bound(std::max(prefix, after)); at != items.end(); ++at)
        {
            if (at->first.rfind(prefix, 0) != 0)
            {
                break;
            }
            if (!after.empty() && at->first <= after)
            {
                continue;
            }
            if (count == 500 || bytes >= 1'000'000)
            {
                has_more = true;
                break;
            }
            body += (count > 0 ? "," : "") + shown(at->first, at->second).dump();
            ++count;
            bytes += at->second.value.size();
        }
        if (!timed_prefix.empty() && prefix == timed_prefix)
        {
            list_begin = after.empty() ? now_s() : list_begin;
            list_read_s = has_more ? list_read_s.load() : now_s() - list_begin;
        }
        return body + "],\"has_more\":" + (has_more ? "true" : "false") +
               ",\"current_rev\":" + std::to_string(revision) + "}";
    }
    std::pair<int, std::string> transact(json const& body)
    {
        for (auto const& row : body.at("expected"))
        {
            auto const at = items.find(row.at("key").get<std::string>());
            if ((at != items.end() ? at->second.revision : 0) !=
                row.at("revision").get<std::uint64_t>())
            {
                auto current = json::array();
                for (auto const& wanted : body.at("expected"))
                {
                    auto const found = items.find(wanted.at("key").get<std::string>());
                    if (found != items.end())
                    {
                        current.push_back(shown(found->first, found->second));
                    }
                }
                return {412, json{{"items", current}}.dump()};
            }
        }
        for (auto const& row : body.at("set_keys"))
        {
            auto const id = row.at("lease").get<std::uint64_t>();
            if (id != 0 && !leases.contains(id))
            {
                return {404, "{}"};
            }
        }
        ++revision;
        for (auto const& row : body.at("set_keys"))
        {
            items[row.at("key").get<std::string>()] = {unbase64(row.at("value").get<std::string>()),
                                                       revision,
                                                       row.at("lease").get<std::uint64_t>()};
        }
        for (auto const& key : body.at("remove"))
        {
            items.erase(key.get<std::string>());
        }
        return {200, json{{"revision", revision}}.dump()};
    }
};

/// A worker that is registered in the store.
struct worker
{
    std::string id;
    std::string service;
    std::string state = "ready";
    int slots = 8;
    json models = json::array();
    std::int64_t born = 1'764'900'000'000;
    std::uint64_t seq = 0;
    server http;

    void announce(store& to)
    {
        to.put("servers/" + id, json{{"service", service},
                                     {"address", "127.0.0.1:" + std::to_string(http.port)},
                                     {"zone", "krapina"},
                                     {"version", "v1"},
                                     {"slots", slots},
                                     {"state", state},
                                     {"cold_remaining_ms", 0},
                                     {"stage", "dual"},
                                     {"models", models},
                                     {"born", born},
                                     {"seq", ++seq}});
    }
};

/// Answers what every worker answers besides its work: reports, and requests for another worker.
/// \returns whether the request was answered.
inline std::optional<bool> answer_aside(worker const& w, connection& c, message const& m)
{
    if (m.path() == "/-/report")
    {
        return c.send(response(200, {{"Content-Type", "application/json"}},
                               json{{"seq", 0}, {"models", w.models}, {"busy", false}}.dump()));
    }
    auto const expected = m.header("Expect-Instance");
    if (!expected.empty() && expected != w.id)
    {
        return c.send(
            response(421, {{"Attempt-Id", m.header("Attempt-Id")}, {"Instance-Id", w.id}}, ""));
    }
    return std::nullopt;
}

inline std::string stamp(std::string const& worker, std::string const& id)
{
    return worker + "." + id;
}

/// The names that the settings of a small deployment need.
struct gateway_place
{
    std::string host = "edge-krapina-1";
    int store_port = 0;
    double cpu_share = 0.19;
    bool bootstrap = true;
};

struct gateway_process
{
    gateway_place place;
    pid_t pid = -1;
    int front = 0;
    int ready = 0;
    std::string log;

    bool is_running() const
    {
        return pid > 0 && ::kill(pid, 0) == 0;
    }
};

inline int free_port()
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    ::bind(fd, reinterpret_cast<sockaddr*>(&at), size);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return ntohs(at.sin_port);
}

/// Starts a gateway with the command of the deploy file and settings as its template makes them
/// (REVIEW_GATEWAY: the program; REVIEW_FOLDER: a temporary folder).
inline void start(gateway_process& g)
{
    std::string const folder = std::getenv("REVIEW_FOLDER");
    auto const path = folder + "/" + g.place.host + ".toml";
    g.log = folder + "/" + g.place.host + ".log";
    if (g.front == 0)
    {
        g.front = free_port();
        g.ready = free_port();
    }
    std::ofstream(path)
        << "host = \"" << g.place.host
        << "\"\ndomain = \"krapina\"\nfirst_start = " << (g.place.bootstrap ? "true" : "false")
        << "\nlisten_callers = \"127.0.0.1:" << g.front
        << "\"\nlisten_ready = \"127.0.0.1:" << g.ready
        << "\"\nlisten_admin = \"127.0.0.1:0\"\nlisten_peers = \"127.0.0.1:0\"\n"
        << "store = \"127.0.0.1:" << g.place.store_port
        << "\"\nduties = \"127.0.0.1:" << g.place.store_port
        << "\"\nkey_withdrawal_ms = 5000\nleader_turn_ms = 3000\nusage_window_s = 5\n"
           "stop_grace_s = 8\njob_end_ms = 3000\nconfiguration_in_effect_ms = 2000\n"
           "departure_in_effect_ms = 2000\nprocessor_share = "
        << g.place.cpu_share << "\nprocessor_cores = 1\n";
    std::string const program = std::getenv("REVIEW_GATEWAY");
    g.pid = ::fork();
    if (g.pid == 0)
    {
        auto* const out = std::freopen(g.log.c_str(), "a", stdout);
        ::dup2(::fileno(out), 2);
        ::setenv("GOOSEBERRYWOOD_CONFIG", path.c_str(), 1);
        ::setenv("GSETTINGS_BACKEND", "memory", 1);
        ::execl(program.c_str(), program.c_str(), "gateway", nullptr);
        ::_exit(127);
    }
    g.place.bootstrap = false;
}

inline bool wait_ready(gateway_process const& g, double seconds)
{
    for (auto const until = now_s() + seconds; now_s() < until;)
    {
        if (call(g.ready, "GET", "/-/ready", {{"Host", "x"}}, "", 500).status == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

inline void stop(gateway_process& g)
{
    if (g.pid > 0)
    {
        ::kill(g.pid, SIGKILL);
        ::waitpid(g.pid, nullptr, 0);
        g.pid = -1;
    }
}

/// Memory that a process uses, in bytes; 0 when it has ended.
inline std::uint64_t memory_of(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
        }
    }
    return 0;
}

inline json route(std::string const& name, std::string const& prefix, std::string const& kind,
                  std::string const& service, int timeout_ms, bool is_public)
{
    return {{"name", name},
            {"host", "desk.review.example"},
            {"prefix", prefix},
            {"route_type", kind},
            {"timeout_ms", timeout_ms},
            {"target_latency_ms", 400},
            {"run_target_ms", 7500},
            {"retention_s", 40},
            {"priority", 1},
            {"service", service},
            {"attempts", 3},
            {"public", is_public}};
}

/// A desired state with a service of engines and a plain one.
inline json desired_state(int version, std::vector<json> const& routes)
{
    return {
        {"version", version},
        {"routes", routes},
        {"services",
         {{{"name", "planner"},
           {"health_path", "/healthz"},
           {"max_conns", 140},
           {"protocol", "h1"},
           {"tls", false},
           {"cold_start_s", 3.0},
           {"cold_per_s", 18.0},
           {"engine", {{"slots", 8}, {"kv_capacity", 103939}, {"models", {{{"name", "m0"}}}}}}},
          {{"name", "bindery"},
           {"health_path", "/healthz"},
           {"max_conns", 100},
           {"protocol", "h1"},
           {"tls", false},
           {"cold_start_s", 0.0},
           {"cold_per_s", 0.0}}}},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 33554432},
          {"header_timeout_ms", 3000},
          {"idle_timeout_ms", 15000}}},
        {"tenants", {{{"name", "team-a"}, {"api_keys", {"key-of-team-a-1"}}, {"priority", 1}}}}};
}

inline std::vector<std::pair<std::string, std::string>> consumer_headers(std::string const& id,
                                                                         int deadline_ms)
{
    return {{"Host", "desk.review.example"},
            {"Attempt-Id", id},
            {"Deadline-Ms", std::to_string(deadline_ms)},
            {"Authorization", "Bearer key-of-team-a-1"}};
}

inline bool has_trouble()
{
    auto const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review

#endif
