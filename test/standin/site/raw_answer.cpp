#include "standin/site/raw_answer.hpp"

#include <sys/socket.h>

namespace gooseberrywood::test
{

namespace
{

std::string with_id(std::string text, std::string const& id)
{
    constexpr std::string_view mark = "{id}";
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + id.size()))
    {
        text.replace(at, mark.size(), id);
    }
    return text;
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
                         one.value("stays_open", false)});
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
    auto const bytes = with_id(answer.bytes, request_id);
    (void)send(g_socket_get_fd(soup_server_message_get_socket(message)), bytes.data(), bytes.size(),
               MSG_NOSIGNAL);
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
