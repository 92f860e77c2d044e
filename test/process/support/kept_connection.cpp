#include "process/support/kept_connection.hpp"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace gooseberrywood::test
{

namespace
{

constexpr std::string_view end_of_head = "\r\n\r\n";

/// Value of a header in a head in lower case, or nothing.
std::string_view header_value(std::string_view head, std::string_view name)
{
    auto const at = head.find("\r\n" + std::string(name) + ": ");
    if (at == std::string_view::npos)
    {
        return {};
    }
    auto const begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

bool read_more(int descriptor, std::string& to)
{
    std::array<char, 4096> bytes{};
    auto const count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
    if (count <= 0)
    {
        return false;
    }
    to.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

} // namespace

kept_connection::kept_connection(std::uint16_t port)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    {
        ::close(descriptor);
        descriptor = -1;
    }
}

kept_connection::~kept_connection()
{
    if (descriptor >= 0)
    {
        ::close(descriptor);
    }
}

bool kept_connection::is_open() const
{
    return descriptor >= 0;
}

void kept_connection::send(std::string_view bytes) const
{
    (void)::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

kept_answer kept_connection::read_answer()
{
    kept_answer answer;
    std::size_t head_end = std::string::npos;
    while ((head_end = unread.find(end_of_head)) == std::string::npos)
    {
        if (!read_more(descriptor, unread))
        {
            return answer;
        }
    }
    auto head = unread.substr(0, head_end + 2);
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char one) { return static_cast<char>(std::tolower(one)); });
    auto const body_begin = head_end + end_of_head.size();
    auto const length =
        std::strtoul(std::string(header_value(head, "content-length")).c_str(), nullptr, 10);
    while (unread.size() < body_begin + length)
    {
        if (!read_more(descriptor, unread))
        {
            return answer;
        }
    }
    constexpr std::size_t status_at = 9;
    answer.status = static_cast<unsigned>(std::strtoul(head.c_str() + status_at, nullptr, 10));
    answer.announces_close = header_value(head, "connection") == "close";
    answer.body = unread.substr(body_begin, length);
    unread.erase(0, body_begin + length);
    return answer;
}

kept_answer kept_connection::exchange(std::string_view request)
{
    send(request);
    return read_answer();
}

connection_end kept_connection::wait_end(std::chrono::milliseconds within) const
{
    pollfd waiting{descriptor, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(within.count())) <= 0)
    {
        return connection_end::still_open;
    }
    char byte = 0;
    auto const count = ::recv(descriptor, &byte, 1, MSG_PEEK);
    return count == 0  ? connection_end::closed
           : count < 0 ? connection_end::reset
                       : connection_end::still_open;
}

} // namespace gooseberrywood::test
