// Parts that the review scripts share: sockets, HTTP/1.1 messages, child processes, the record.
#ifndef REVIEW_STANDIN_2_COMMON_HPP
#define REVIEW_STANDIN_2_COMMON_HPP

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline clock_type::time_point const program_start = clock_type::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(clock_type::now() - program_start).count();
}

inline void sleep_ms(int count)
{
    std::this_thread::sleep_for(milliseconds(count));
}

/// Exit codes of a case.
inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int not_run = 2;

/// What was sent, answered and run, one line each.
struct record
{
    std::mutex mutex;
    std::FILE* file = nullptr;

    explicit record(std::string const& path) : file(std::fopen(path.c_str(), "w")) {}
    ~record()
    {
        if (file != nullptr)
        {
            std::fclose(file);
        }
    }

    void line(std::string const& text)
    {
        std::lock_guard const lock(mutex);
        std::fprintf(file, "%8.3f %s\n", seconds_now(), text.c_str());
        std::fflush(file);
    }
};

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on a free port of the loopback interface.
inline int listen_any(std::uint16_t& port, int backlog = 512)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = loopback(port);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, backlog) != 0)
    {
        close(fd);
        return -1;
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

inline std::uint16_t free_port()
{
    std::uint16_t port = 0;
    int const fd = listen_any(port);
    close(fd);
    return port;
}

inline int connect_to(std::uint16_t port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0)
    {
        close(fd);
        return -1;
    }
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// A request or a response.
struct message
{
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Set when the connection ended before the message did.
    bool cut = false;

    [[nodiscard]] std::string header(std::string const& name) const
    {
        auto const found = headers.find(lower(name));
        return found != headers.end() ? found->second : "";
    }
    /// Word `index` of the start line.
    [[nodiscard]] std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i)
        {
            begin = start_line.find(' ', begin);
            if (begin == std::string::npos)
            {
                return "";
            }
            ++begin;
        }
        return start_line.substr(begin, start_line.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
    [[nodiscard]] std::string path() const
    {
        auto const target = word(1);
        return target.substr(0, target.find('?'));
    }
    [[nodiscard]] std::string query(std::string const& name) const
    {
        auto const target = word(1);
        auto const mark = target.find('?');
        std::string_view rest =
            mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
        while (!rest.empty())
        {
            auto const pair = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
            if (pair.starts_with(name + "="))
            {
                std::string value;
                auto const raw = pair.substr(name.size() + 1);
                for (std::size_t i = 0; i < raw.size(); ++i)
                {
                    if (raw[i] == '%' && i + 2 < raw.size())
                    {
                        value += static_cast<char>(
                            std::strtol(std::string(raw.substr(i + 1, 2)).c_str(), nullptr, 16));
                        i += 2;
                    }
                    else
                    {
                        value += raw[i];
                    }
                }
                return value;
            }
        }
        return "";
    }
};

/// Reads messages from a connection.
struct reader
{
    int fd = -1;
    std::string buffered;

    /// \returns false at the end of the connection or when nothing comes within the time.
    bool fill(int timeout_ms)
    {
        pollfd wait{fd, POLLIN, 0};
        if (poll(&wait, 1, timeout_ms) != 1)
        {
            return false;
        }
        char buffer[65536];
        auto const count = recv(fd, buffer, sizeof buffer, 0);
        if (count <= 0)
        {
            return false;
        }
        buffered.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    std::optional<std::string> line(int timeout_ms)
    {
        for (;;)
        {
            auto const end = buffered.find("\r\n");
            if (end != std::string::npos)
            {
                auto text = buffered.substr(0, end);
                buffered.erase(0, end + 2);
                return text;
            }
            if (!fill(timeout_ms))
            {
                return std::nullopt;
            }
        }
    }

    bool take(std::size_t count, std::string& into, int timeout_ms)
    {
        while (buffered.size() < count)
        {
            if (!fill(timeout_ms))
            {
                return false;
            }
        }
        into.append(buffered, 0, count);
        buffered.erase(0, count);
        return true;
    }

    std::optional<message> read(bool is_response, int timeout_ms)
    {
        message read;
        auto const start = line(timeout_ms);
        if (!start)
        {
            return std::nullopt;
        }
        read.start_line = *start;
        for (;;)
        {
            auto const field = line(timeout_ms);
            if (!field)
            {
                return std::nullopt;
            }
            if (field->empty())
            {
                break;
            }
            auto const colon = std::min(field->find(':'), field->size());
            auto value = field->substr(std::min(colon + 1, field->size()));
            value.erase(0, value.find_first_not_of(" \t"));
            read.headers[lower(field->substr(0, colon))] = value;
        }
        if (lower(read.header("Transfer-Encoding")) == "chunked")
        {
            for (;;)
            {
                auto const size_line = line(timeout_ms);
                if (!size_line)
                {
                    read.cut = true;
                    return read;
                }
                auto const size =
                    static_cast<std::size_t>(std::strtoul(size_line->c_str(), nullptr, 16));
                if (size > 0 && !take(size, read.body, timeout_ms))
                {
                    read.cut = true;
                    return read;
                }
                if (!line(timeout_ms))
                {
                    read.cut = true;
                    return read;
                }
                if (size == 0)
                {
                    return read;
                }
            }
        }
        if (read.headers.contains("content-length"))
        {
            auto const size = std::strtoul(read.header("Content-Length").c_str(), nullptr, 10);
            read.cut = !take(size, read.body, timeout_ms);
            return read;
        }
        if (is_response)
        {
            while (fill(timeout_ms))
            {
            }
            read.body = std::exchange(buffered, {});
        }
        return read;
    }
};

/// A server with a thread for each connection.
struct server
{
    std::uint16_t port = 0;
    int listening = -1;
    /// Handles a request; returns false when the connection must be closed.
    std::function<bool(int fd, message const& request)> handle;

    bool start(std::uint16_t at = 0)
    {
        port = at;
        listening = listen_any(port);
        if (listening < 0)
        {
            return false;
        }
        std::thread(
            [this]
            {
                for (;;)
                {
                    int const fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
                    if (fd < 0)
                    {
                        return;
                    }
                    int const on = 1;
                    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    std::thread([this, fd] { serve(fd); }).detach();
                }
            })
            .detach();
        return true;
    }

    void serve(int fd) const
    {
        reader from{fd, {}};
        for (;;)
        {
            auto const request = from.read(false, 3600'000);
            if (!request || request->cut || !handle(fd, *request))
            {
                break;
            }
        }
        close(fd);
    }
};

inline std::string http_response(int status, std::string const& body,
                                 std::vector<std::pair<std::string, std::string>> const& headers = {})
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : headers)
    {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A caller's connection, which is kept for several requests.
struct caller
{
    std::uint16_t port = 0;
    int fd = -1;
    reader from;

    explicit caller(std::uint16_t to) : port(to) {}
    caller(caller const&) = delete;
    caller& operator=(caller const&) = delete;
    ~caller() { drop(); }

    void drop()
    {
        if (fd >= 0)
        {
            close(fd);
        }
        fd = -1;
        from = {};
    }

    /// \returns nothing when the connection can't be made, ends or stays silent.
    std::optional<message> call(std::string const& method, std::string const& target,
                                std::vector<std::pair<std::string, std::string>> const& headers,
                                std::string const& body, int timeout_ms)
    {
        if (fd < 0)
        {
            fd = connect_to(port);
            from = {fd, {}};
        }
        if (fd < 0)
        {
            return std::nullopt;
        }
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (auto const& [name, value] : headers)
        {
            text += name + ": " + value + "\r\n";
        }
        if (!body.empty() || method == "POST")
        {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        text += "\r\n" + body;
        if (!send_all(fd, text))
        {
            drop();
            return std::nullopt;
        }
        auto answer = from.read(true, timeout_ms);
        if (!answer || answer->cut || lower(answer->header("Connection")) == "close")
        {
            drop();
        }
        return answer;
    }
};

/// A program that this process started. It ends with this process.
struct child
{
    pid_t pid = -1;

    child() = default;
    child(child const&) = delete;
    child& operator=(child const&) = delete;
    ~child() { end(SIGKILL); }

    bool start(std::vector<std::string> const& command,
               std::vector<std::pair<std::string, std::string>> const& environment,
               std::string const& output)
    {
        std::vector<std::string> variables;
        for (auto const* name : {"PATH", "HOME", "LANG"})
        {
            if (auto const* const value = std::getenv(name))
            {
                variables.push_back(std::string(name) + "=" + value);
            }
        }
        for (auto const& [name, value] : environment)
        {
            variables.push_back(name + "=" + value);
        }
        std::vector<char*> argv;
        std::vector<char*> envp;
        for (auto const& word : command)
        {
            argv.push_back(const_cast<char*>(word.c_str()));
        }
        for (auto const& variable : variables)
        {
            envp.push_back(const_cast<char*>(variable.c_str()));
        }
        argv.push_back(nullptr);
        envp.push_back(nullptr);
        pid = fork();
        if (pid == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            execve(argv[0], argv.data(), envp.data());
            _exit(127);
        }
        return pid > 0;
    }

    void signal(int number) const
    {
        if (pid > 0)
        {
            kill(pid, number);
        }
    }

    void end(int number)
    {
        if (pid > 0)
        {
            kill(pid, number);
            waitpid(pid, nullptr, 0);
        }
        pid = -1;
    }

    /// Resident memory in MB (1 MB = 1,000,000 bytes).
    [[nodiscard]] double memory_mb() const
    {
        auto const path = "/proc/" + std::to_string(pid) + "/statm";
        std::FILE* const file = std::fopen(path.c_str(), "r");
        long total = 0;
        long resident = 0;
        if (file == nullptr || std::fscanf(file, "%ld %ld", &total, &resident) != 2)
        {
            resident = 0;
        }
        if (file != nullptr)
        {
            std::fclose(file);
        }
        return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }
};

/// A temporary folder that is removed at the end.
struct temporary_folder
{
    std::string path;

    temporary_folder()
    {
        path = (std::filesystem::temp_directory_path() / "review-2-XXXXXX").string();
        if (mkdtemp(path.data()) == nullptr)
        {
            std::exit(not_run);
        }
    }
    ~temporary_folder()
    {
        auto const command = "rm -rf '" + path + "'";
        if (std::system(command.c_str()) != 0)
        {
            std::cerr << "the temporary folder could not be removed\n";
        }
    }
};

inline bool wait_until(std::function<bool()> const& condition, int timeout_ms)
{
    auto const end = clock_type::now() + milliseconds(timeout_ms);
    while (!condition())
    {
        if (clock_type::now() >= end)
        {
            return false;
        }
        sleep_ms(20);
    }
    return true;
}

inline std::string to_base64(std::string_view bytes)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        auto const count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
        {
            group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j)
        {
            text += j <= count ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
    }
    return text;
}

inline std::string from_base64(std::string_view text)
{
    static std::array<int, 256> const values = []
    {
        std::array<int, 256> made{};
        made.fill(-1);
        std::string_view const digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        for (std::size_t i = 0; i < digits.size(); ++i)
        {
            made[static_cast<unsigned char>(digits[i])] = static_cast<int>(i);
        }
        return made;
    }();
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (unsigned char const c : text)
    {
        if (values[c] < 0)
        {
            continue;
        }
        group = group << 6 | static_cast<std::uint32_t>(values[c]);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

} // namespace review

#endif
