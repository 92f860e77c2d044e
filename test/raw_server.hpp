#ifndef GOOSEBERRYWOOD_TEST_RAW_SERVER_HPP
#define GOOSEBERRYWOOD_TEST_RAW_SERVER_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

namespace gooseberrywood::test
{

/// TCP server that passes each connection to a function, which may send any bytes.
struct raw_server
{
    explicit raw_server(std::function<void(int connection, int number)> serve)
        : listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        if (bind(listener, generic, size) != 0 || listen(listener, 8) != 0 ||
            getsockname(listener, generic, &size) != 0)
        {
            throw std::runtime_error("raw_server can't listen on a loopback port");
        }
        port = ntohs(address.sin_port);
        thread = std::thread(
            [this, serve = std::move(serve)]
            {
                for (int fd = accept(listener, nullptr, nullptr); fd >= 0;
                     fd = accept(listener, nullptr, nullptr))
                {
                    serve(fd, ++connections);
                    close(fd);
                }
            });
    }
    raw_server(raw_server const&) = delete;
    raw_server& operator=(raw_server const&) = delete;
    ~raw_server()
    {
        shutdown(listener, SHUT_RDWR);
        thread.join();
        close(listener);
    }

    int listener;
    std::uint16_t port = 0;
    std::atomic<int> connections = 0;
    std::thread thread;
};

/// Reads up to the end of the headers of a request.
inline void read_request_headers(int connection)
{
    std::string headers;
    char byte = 0;
    while (headers.find("\r\n\r\n") == std::string::npos && read(connection, &byte, 1) == 1)
    {
        headers.push_back(byte);
    }
}

/// \returns false if the peer has closed the connection.
inline bool send_text(int connection, std::string_view text)
{
    while (!text.empty())
    {
        auto const count = send(connection, text.data(), text.size(), MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

} // namespace gooseberrywood::test

#endif
