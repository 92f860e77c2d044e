#include "http/connection_table.hpp"

#include "base/log.hpp"
#include "http/error_response.hpp"
#include "http/status.hpp"

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <sys/socket.h>

#include <algorithm>
#include <string>

namespace gooseberrywood::http
{

namespace
{

using base::result_code;

// libsoup, the streams and the head of a request occupy about as much for each connection.
constexpr std::size_t connection_bytes = std::size_t{16} * 1024;
// A request makes progress when at least as much of it arrives. Single bytes that keep a connection
// alive are no progress.
constexpr std::size_t progress_bytes = 4 * 1024;
// Connections without progress for as long may be closed when room is short.
constexpr base::duration stall_time = std::chrono::seconds(1);
// Time for a client to read the response to a rejected request.
constexpr base::duration linger_time = std::chrono::seconds(2);
// Connections without progress can be closed by then.
constexpr double retry_after_room_s = 1;

bool is_lingering(open_connection const& connection, base::mono_time now)
{
    return connection.is_ending && now < connection.close_at;
}

bool is_stalled(open_connection const& connection, base::mono_time now)
{
    if (connection.is_ending)
    {
        return is_lingering(connection, now);
    }
    // The work for a request that is being answered has its own deadline, but a response that is
    // not read has none.
    bool const may_close = !connection.is_being_answered || connection.response_bytes > 0;
    return may_close && now >= connection.progress_at + stall_time;
}

void begin_end(open_connection& connection, base::mono_time close_at)
{
    connection.is_ending = true;
    connection.close_at = close_at;
    connection.body.reset();
    if (connection.input)
    {
        connection.input->discards = true;
    }
}

void release_all(connection_table& table, open_connection& connection)
{
    release(table.memory, connection.memory, connection.memory.bytes);
    connection.response_bytes = 0;
}

void shed_connection(connection_table& table, open_connection& connection, char const* reason,
                     base::mono_time now)
{
    ++table.refused.connections_shed;
    base::log_line(base::log_level::info, "connection_shed",
                   {{"reason", reason},
                    {"bytes", static_cast<std::int64_t>(connection.memory.bytes)},
                    {"in_use", connection.is_in_use}});
    release_all(table, connection);
    begin_end(connection, now);
    // libsoup reads the end of the connection and closes it.
    g_socket_shutdown(connection.socket.get(), TRUE, TRUE, nullptr);
}

/// Closes the connection that has made no progress for the longest time.
/// \param kept connection that is not closed; may be null.
/// \returns false if all others make progress.
bool shed_stalled(connection_table& table, open_connection const* kept, char const* reason,
                  base::mono_time now)
{
    open_connection* oldest = nullptr;
    for (auto& [key, connection] : table.open)
    {
        if (&connection != kept && is_stalled(connection, now) &&
            (oldest == nullptr || connection.progress_at < oldest->progress_at))
        {
            oldest = &connection;
        }
    }
    if (oldest != nullptr)
    {
        shed_connection(table, *oldest, reason, now);
    }
    return oldest != nullptr;
}

std::size_t count_open(connection_table const& table, base::mono_time now)
{
    return static_cast<std::size_t>(std::count_if(table.open.begin(), table.open.end(),
                                                  [now](auto const& entry) {
                                                      return !entry.second.is_ending ||
                                                             is_lingering(entry.second, now);
                                                  }));
}

std::string encode_rejection(std::uint16_t status, base::error const& error, double retry_after_s)
{
    auto const body = error_json(error);
    auto const retry_after =
        retry_after_s > 0 ? fmt::format("Retry-After: {}\r\n", retry_after_s) : std::string();
    return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n"
                       "{}Connection: close\r\n\r\n{}",
                       status, soup_status_get_phrase(status), body.size(), retry_after, body);
}

void reject_large_body(connection_table& table, open_connection& connection, base::mono_time now)
{
    reject_request(table, connection, status::content_too_large,
                   {result_code::request_too_large,
                    fmt::format("the request body exceeds the limit of {} bytes",
                                table.limits.max_body_bytes)},
                   0, now);
}

void check_connection(connection_table& table, open_connection& connection, base::mono_time now)
{
    auto const& limits = table.limits;
    bool const is_reading_head = connection.input && connection.input->part == message_part::head &&
                                 connection.input->head.bytes > 0;
    if (!is_reading_head)
    {
        connection.head_since = {};
    }
    else if (connection.head_since == base::mono_time{})
    {
        connection.head_since = now;
    }
    if (connection.is_ending)
    {
        if (now >= connection.close_at)
        {
            g_socket_shutdown(connection.socket.get(), TRUE, TRUE, nullptr);
        }
        return;
    }
    if (is_reading_head && now >= connection.head_since + limits.head_timeout)
    {
        reject_request(table, connection, status::request_timeout,
                       {result_code::request_timeout, "the head did not arrive in time"}, 0, now);
        return;
    }
    if (connection.is_being_answered || now < connection.progress_at + limits.idle_timeout)
    {
        return;
    }
    if (connection.is_in_use)
    {
        reject_request(table, connection, status::request_timeout,
                       {result_code::request_timeout, "the body did not arrive in time"}, 0, now);
        return;
    }
    begin_end(connection, now);
    g_socket_shutdown(connection.socket.get(), TRUE, TRUE, nullptr);
}

} // namespace

void attach_socket(GSocketAddress* remote, GSocket* socket)
{
    g_object_set_data_full(G_OBJECT(remote), socket_data_name, g_object_ref(socket),
                           g_object_unref);
}

void set_limits(connection_table& table, server_limits const& limits)
{
    table.limits = limits;
    table.memory.total = limits.memory_bytes;
    for (auto& [key, connection] : table.open)
    {
        connection.input->max_head_bytes = limits.max_head_bytes;
    }
}

open_connection* find_connection(connection_table& table, GSocket* socket)
{
    auto const it = table.open.find(socket);
    return it != table.open.end() ? &it->second : nullptr;
}

open_connection* add_connection(connection_table& table, base::object_ptr<GSocket> socket,
                                base::mono_time now)
{
    while (count_open(table, now) >= table.limits.max_connections)
    {
        if (!shed_stalled(table, nullptr, "too many connections", now))
        {
            return nullptr;
        }
    }
    memory_share memory;
    while (!reserve(table.memory, memory, connection_bytes))
    {
        if (!shed_stalled(table, nullptr, "no memory for a further connection", now))
        {
            return nullptr;
        }
    }
    auto* const key = socket.get();
    auto& added = table.open[key];
    added.socket = std::move(socket);
    added.memory = memory;
    added.progress_at = now;
    return &added;
}

void remove_connection(connection_table& table, GSocket* socket)
{
    auto const it = table.open.find(socket);
    if (it != table.open.end())
    {
        release_all(table, it->second);
        g_object_set_data(G_OBJECT(it->second.remote.get()), socket_data_name, nullptr);
        table.open.erase(it);
    }
}

bool reserve_for(connection_table& table, open_connection& connection, std::size_t bytes,
                 base::mono_time now)
{
    while (!reserve(table.memory, connection.memory, bytes))
    {
        if (!shed_stalled(table, &connection, "no memory for another request", now))
        {
            return false;
        }
    }
    return true;
}

void check_announced_length(connection_table& table, open_connection& connection,
                            std::uint64_t length, base::mono_time now)
{
    if (length > table.limits.max_body_bytes)
    {
        reject_large_body(table, connection, now);
    }
}

void receive_body(connection_table& table, open_connection& from, std::string_view bytes,
                  base::mono_time now)
{
    if (from.is_ending)
    {
        return;
    }
    if (!from.body)
    {
        from.body.reset(g_byte_array_new());
    }
    if (from.body->len + bytes.size() > table.limits.max_body_bytes)
    {
        reject_large_body(table, from, now);
        return;
    }
    if (!reserve_for(table, from, bytes.size(), now))
    {
        reject_request(
            table, from, status::unavailable,
            {result_code::overloaded, "there is no memory for the body of the request now"},
            retry_after_room_s, now);
        return;
    }
    g_byte_array_append(from.body.get(), reinterpret_cast<guint8 const*>(bytes.data()),
                        static_cast<guint>(bytes.size()));
    from.bytes_since_progress += bytes.size();
    if (from.bytes_since_progress >= progress_bytes)
    {
        from.bytes_since_progress = 0;
        from.progress_at = now;
    }
}

shared_bytes take_body(open_connection& from)
{
    return from.body ? adopt_bytes(g_byte_array_free_to_bytes(from.body.release()))
                     : copy_bytes({});
}

bool reserve_response(connection_table& table, open_connection& connection, std::size_t bytes,
                      base::mono_time now)
{
    if (!reserve_for(table, connection, bytes, now))
    {
        return false;
    }
    connection.response_bytes += bytes;
    connection.progress_at = now;
    return true;
}

void note_written(connection_table& table, open_connection& connection, std::size_t bytes,
                  base::mono_time now)
{
    auto const written = std::min(bytes, connection.response_bytes);
    connection.response_bytes -= written;
    release(table.memory, connection.memory, written);
    connection.progress_at = now;
}

void end_request(connection_table& table, open_connection& connection, base::mono_time now)
{
    connection.is_in_use = false;
    connection.is_being_answered = false;
    connection.body.reset();
    connection.response_bytes = 0;
    connection.progress_at = now;
    if (connection.memory.bytes > connection_bytes)
    {
        release(table.memory, connection.memory, connection.memory.bytes - connection_bytes);
    }
}

void reject_request(connection_table& table, open_connection& connection, std::uint16_t status,
                    base::error const& error, double retry_after_s, base::mono_time now)
{
    ++table.refused.bodies_refused;
    base::log_line(base::log_level::info, "body_refused",
                   {{"status", std::int64_t{status}},
                    {"reason", error.message},
                    {"bytes", static_cast<std::int64_t>(connection.memory.bytes)},
                    {"reserved", static_cast<std::int64_t>(table.memory.reserved)}});
    release_all(table, connection);
    begin_end(connection, now + linger_time);
    if (connection.is_being_answered)
    {
        // A second response must not overtake the one that is being written.
        return;
    }
    auto const response = encode_rejection(status, error, retry_after_s);
    (void)send(g_socket_get_fd(connection.socket.get()), response.data(), response.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    g_socket_shutdown(connection.socket.get(), FALSE, TRUE, nullptr);
}

void check_connections(connection_table& table, base::mono_time now)
{
    for (auto& [key, connection] : table.open)
    {
        check_connection(table, connection, now);
    }
}

} // namespace gooseberrywood::http
