#include "process/support/crowd.hpp"

#include "process/support/eventually.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
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

/// Memory that the settings of the gateway name.
constexpr std::size_t memory_mb = 64;

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

/// Memory that the gateway may use.
std::size_t memory_bound([[maybe_unused]] small_gateway const& gateway)
{
#ifdef __SANITIZE_ADDRESS__
    // The allocator of the sanitizer pads blocks, shadows them and keeps released ones for seconds.
    return gateway.bytes_before + 2 * memory_mb * mebibyte;
#else
    return memory_mb * mebibyte;
#endif
}

/// Bytes that wait unread in the sockets of a local port.
std::size_t unread_bytes(std::uint16_t port)
{
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::size_t sum = 0;
    while (std::getline(sockets, line))
    {
        unsigned local_port = 0;
        unsigned long unread = 0;
        if (std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%*x %*x %*x:%lx", &local_port, &unread) ==
                2 &&
            local_port == port)
        {
            sum += unread;
        }
    }
    return sum;
}

bool is_served(small_gateway const& gateway)
{
    try
    {
        return call_gateway(gateway.service->gateways[0], "POST", "/q/1", "desk.example",
                            "ordinary", "hello")
                   .status == 200;
    }
    catch (std::runtime_error const&)
    {
        // The connection was closed; callers try again.
        return false;
    }
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

std::string lookup_head(std::string_view id, std::string_view headers)
{
    return fmt::format("POST /q/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {}\r\n"
                       "Deadline-Ms: 3000\r\nAuthorization: Bearer key-1\r\n{}\r\n",
                       id, headers);
}

std::string chunked_head(std::string_view id)
{
    return lookup_head(id, "Transfer-Encoding: chunked\r\n");
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

small_gateway::small_gateway(std::size_t descriptors) : max_descriptors(descriptors)
{
    // The sanitizer keeps released memory for so long that it would hide the limits. Read by
    // the programs that are started below.
    setenv("ASAN_OPTIONS", "quarantine_size_mb=4", 1);
    service = std::make_unique<site_service>(
        1, 2, fmt::format("memory_mb = {}\nmax_descriptors = {}", memory_mb, descriptors));
    bytes_before = resident_bytes(*service->gateways[0].program);
}

std::uint16_t small_gateway::port() const
{
    return service->gateways[0].http_port;
}

void check_bounds(small_gateway const& gateway)
{
    auto const& program = *gateway.service->gateways[0].program;
    wait_settled(program);
    REQUIRE(is_alive(program));
    CHECK(most_resident_bytes(program) + unread_bytes(gateway.port()) < memory_bound(gateway));
    CHECK(open_descriptors(program) < gateway.max_descriptors);
}

void check_bounds_and_service(small_gateway const& gateway)
{
    check_bounds(gateway);
    CHECK(eventually([&] { return is_served(gateway); }));
    CHECK(is_alive(*gateway.service->gateways[0].program));
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
    std::size_t bytes_before = 0;
    std::size_t descriptors_before = 0;
    int unchanged = 0;
    for (int round = 0; round < max_rounds && unchanged < quiet_rounds && is_alive(of); ++round)
    {
        auto const bytes = resident_bytes(of);
        auto const descriptors = open_descriptors(of);
        bool const is_same = bytes == bytes_before && descriptors == descriptors_before;
        unchanged = is_same ? unchanged + 1 : 0;
        bytes_before = bytes;
        descriptors_before = descriptors;
        std::this_thread::sleep_for(interval);
    }
}

bool is_alive(process const& which)
{
    std::ifstream status(fmt::format("/proc/{}/status", which.pid));
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with("State:"))
        {
            return line.find('Z') == std::string::npos;
        }
    }
    return false;
}

} // namespace gooseberrywood::test
