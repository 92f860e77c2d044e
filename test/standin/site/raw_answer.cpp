#include "standin/site/raw_answer.hpp"

#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <thread>

namespace gooseberrywood::test
{

namespace
{

constexpr std::size_t min_block_bytes = 64 * 1024;

std::string with(std::string text, std::string_view mark, std::string const& value)
{
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + value.size()))
    {
        text.replace(at, mark.size(), value);
    }
    return text;
}

/// Sends on a socket that does not block.
/// \returns false if the peer has closed the connection.
bool send_all(int socket, std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const count = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EINTR)
        {
            return false;
        }
        if (count < 0)
        {
            pollfd waits{socket, POLLOUT, 0};
            (void)poll(&waits, 1, -1);
            continue;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// Sends a text and then repetitions of another one, as fast as the peer reads, until it closes the
/// connection.
void send_without_end(int socket, std::string const& begin, std::string const& repeated)
{
    bool is_open = send_all(socket, begin);
    for (std::int64_t number = 1; is_open;)
    {
        std::string block;
        for (; block.size() < min_block_bytes; ++number)
        {
            block += with(repeated, "{n}", fmt::format("{}", number));
        }
        is_open = send_all(socket, block);
    }
    close(socket);
}

void start_without_end(SoupServerMessage* message, std::string const& begin,
                       std::string const& repeated)
{
    int const socket = dup(g_socket_get_fd(soup_server_message_get_socket(message)));
    int const buffer_bytes = 4 * 1024 * 1024;
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
    std::thread([=] { send_without_end(socket, begin, repeated); }).detach();
    soup_server_message_pause(message);
}

void reset_connection(SoupServerMessage* message)
{
    GSocket* const socket = soup_server_message_get_socket(message);
    linger const no_linger{1, 0};
    setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    g_socket_close(socket, nullptr);
}

} // namespace

void set_raw_answers(raw_answers& to, nlohmann::json const& body)
{
    auto& queue = to[body.at("service").get<std::string>()];
    queue.clear();
    for (auto const& one : body.at("answers"))
    {
        queue.push_back({one.at("bytes").get<std::string>(), one.value("resets", false),
                         one.value("stays_open", false), one.value("repeated", "")});
    }
}

bool send_raw_answer(raw_answers& from, std::string const& service, SoupServerMessage* message,
                     std::string const& request_id)
{
    auto& queue = from[service];
    if (queue.empty())
    {
        return false;
    }
    auto const answer = std::move(queue.front());
    queue.pop_front();
    auto const bytes = with(answer.bytes, "{id}", request_id);
    if (!answer.repeated.empty())
    {
        start_without_end(message, bytes, answer.repeated);
        return true;
    }
    (void)send_all(g_socket_get_fd(soup_server_message_get_socket(message)), bytes);
    if (answer.stays_open)
    {
        soup_server_message_pause(message);
        return true;
    }
    if (answer.resets)
    {
        reset_connection(message);
    }
    close_connection(message);
    return true;
}

} // namespace gooseberrywood::test
