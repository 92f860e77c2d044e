#ifndef GOOSEBERRYWOOD_TEST_RAW_CLIENT_HPP
#define GOOSEBERRYWOOD_TEST_RAW_CLIENT_HPP

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywood::test
{

/// A connection on which a test sends and receives without blocking.
struct raw_client
{
    explicit raw_client(std::uint16_t port)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    }
    raw_client(raw_client const&) = delete;
    raw_client& operator=(raw_client const&) = delete;
    ~raw_client()
    {
        close(descriptor);
    }

    void send(std::string_view bytes) const
    {
        REQUIRE(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }

    [[nodiscard]] bool has_received(std::string_view text)
    {
        receive();
        return received.find(text) != std::string::npos;
    }

    /// Whether the server has closed or reset the connection, and all of it was received.
    [[nodiscard]] bool has_ended()
    {
        receive();
        return is_over;
    }

    void reset_when_closed() const
    {
        linger const no_linger{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    }

    void receive()
    {
        std::array<char, 4096> bytes{};
        auto const count = recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        received.append(bytes.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        is_over = is_over || count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }

    int descriptor;
    std::string received;
    bool is_over = false;
};

} // namespace gooseberrywood::test

#endif
