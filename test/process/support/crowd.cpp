#include "process/support/crowd.hpp"

#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace gooseberrywood::test
{

namespace
{

/// Bytes that a member sends before it is the turn of the next one.
constexpr std::size_t turn_bytes = 64 * 1024;
constexpr int write_patience_ms = 1000;

/// \returns how many bytes were sent; 0 if the peer reads no more.
std::size_t send_some(int descriptor, std::string_view bytes)
{
    pollfd writable{descriptor, POLLOUT, 0};
    if (::poll(&writable, 1, write_patience_ms) != 1)
    {
        return 0;
    }
    auto const count = ::send(descriptor, bytes.data(), std::min(bytes.size(), turn_bytes),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

std::string status_field(process const& of, std::string const& name)
{
    std::ifstream status(fmt::format("/proc/{}/status", of.pid));
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with(name + ":"))
        {
            return line.substr(name.size() + 1);
        }
    }
    return {};
}

} // namespace

crowd make_crowd(std::uint16_t port, std::size_t size, std::string_view bytes)
{
    crowd made;
    std::vector<std::size_t> sent(size, 0);
    for (std::size_t i = 0; i < size; ++i)
    {
        made.members.push_back(std::make_unique<kept_connection>(port));
    }
    for (bool is_sending = true; is_sending;)
    {
        is_sending = false;
        for (std::size_t i = 0; i < size; ++i)
        {
            if (!made.members[i]->is_open() || sent[i] >= bytes.size())
            {
                continue;
            }
            auto const count = send_some(made.members[i]->descriptor, bytes.substr(sent[i]));
            sent[i] = count > 0 ? sent[i] + count : bytes.size();
            is_sending = true;
        }
    }
    return made;
}

std::string chunked_head(std::string_view id)
{
    return fmt::format("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
                       "Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n",
                       id);
}

std::string unfinished_chunks(std::size_t bytes, std::size_t chunk_bytes)
{
    auto const chunk = fmt::format("{:x}\r\n{}\r\n", chunk_bytes, std::string(chunk_bytes, 'x'));
    std::string made;
    made.reserve(bytes / chunk_bytes * chunk.size());
    for (std::size_t sent = 0; sent + chunk_bytes <= bytes; sent += chunk_bytes)
    {
        made += chunk;
    }
    return made;
}

std::size_t peak_resident_bytes(process const& of)
{
    constexpr std::size_t kibibyte = 1024;
    auto const field = status_field(of, "VmHWM");
    if (field.empty())
    {
        throw std::runtime_error("the process tells no resident size");
    }
    return std::stoul(field) * kibibyte;
}

std::size_t open_descriptors(process const& of)
{
    std::filesystem::directory_iterator const listed(fmt::format("/proc/{}/fd", of.pid));
    return static_cast<std::size_t>(std::distance(begin(listed), end(listed)));
}

void wait_settled(process const& of)
{
    constexpr std::chrono::milliseconds interval(100);
    constexpr int quiet_rounds = 10;
    constexpr int max_rounds = 300;
    std::string before;
    int unchanged = 0;
    for (int round = 0; round < max_rounds && unchanged < quiet_rounds && is_alive(of); ++round)
    {
        auto const now = status_field(of, "VmRSS") + std::to_string(open_descriptors(of));
        unchanged = now == before ? unchanged + 1 : 0;
        before = now;
        std::this_thread::sleep_for(interval);
    }
}

bool is_alive(process const& which)
{
    auto const state = status_field(which, "State");
    return !state.empty() && state.find('Z') == std::string::npos;
}

} // namespace gooseberrywood::test
