#include "http/connection_close.hpp"

#include "base/log.hpp"
#include "base/unread_bytes.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

std::string_view name_of(close_reason reason)
{
    constexpr std::array<std::string_view, 6> names = {"idle",     "rejected", "no_room",
                                                       "given_up", "stopping", "grace_over"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace

std::size_t unread_bytes(open_connection const& connection)
{
    return base::unread_bytes(connection.socket.get());
}

bool is_between_requests(open_connection const& connection)
{
    return !connection.is_in_use && !is_reading_head(connection) && unread_bytes(connection) == 0;
}

bool must_be_read_first(open_connection& connection)
{
    // libsoup does not read while a request is being answered.
    if (connection.is_being_answered || unread_bytes(connection) == 0)
    {
        return false;
    }
    auto const bytes = is_reading_head(connection) ? connection.input->head.bytes : 0;
    bool const is_first = !connection.deferred_at_head_bytes;
    return std::exchange(connection.deferred_at_head_bytes, bytes) == bytes || is_first;
}

void close_connection(open_connection& connection, close_reason reason)
{
    base::log_line(base::log_level::info, "connection_closed",
                   {{"reason", name_of(reason)},
                    {"idle_us", (base::mono_now() - connection.active_at).count()},
                    {"in_use", std::int64_t{connection.is_in_use}},
                    {"unread", static_cast<std::int64_t>(unread_bytes(connection))}});
    connection.is_closed = true;
    if (connection.input)
    {
        connection.input->discards = true;
    }
    // libsoup reads the end of the connection, or fails to write, and closes it.
    g_socket_shutdown(connection.socket.get(), TRUE, TRUE, nullptr);
}

} // namespace gooseberrywood::http
