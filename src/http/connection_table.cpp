#include "http/connection_table.hpp"

#include "base/log.hpp"
#include "http/connection_close.hpp"
#include "http/status.hpp"

#include <fmt/format.h>

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace gooseberrywood::http
{

namespace
{

using base::result_code;

// What libsoup, the streams and the main loop hold for a connection.
constexpr std::size_t connection_bytes = std::size_t{16} * 1024;
// A head is held by libsoup and the exchange, and in the request to an upstream.
constexpr std::size_t head_copies = 4;
// Strings and list entries of one header in these places.
constexpr std::size_t header_bytes = 384;
// A request makes progress when at least as much of it arrives. Single bytes that keep a connection
// alive are no progress.
constexpr std::size_t progress_bytes = 4 * 1024;
// Responses that are sent even if there is no room for them, such as errors.
constexpr std::size_t short_response_bytes = std::size_t{4} * 1024;
// Connections without progress for as long may be closed when room is short.
constexpr base::duration stall_time = std::chrono::seconds(1);
// Time for a client to read the answer to a rejected request.
constexpr base::duration linger_time = std::chrono::seconds(2);
// Stalled connections can be closed by then.
constexpr base::duration retry_after_no_room = std::chrono::seconds(1);
// Part of the budget of large requests that their heads and connections may need.
constexpr std::size_t max_head_share_bytes = std::size_t{1024} * 1024;

bool is_stalled(open_connection const& connection, base::mono_time now)
{
    if (connection.is_closed || now < connection.progress_at + stall_time)
    {
        return false;
    }
    // The work for a request that is being answered has its own deadline, but an answer that is not
    // read, and requests that are sent ahead, have none.
    return !connection.is_being_answered || connection.queued_response_bytes > 0 ||
           connection.observed_bytes > 0;
}

void release_all(connection_table& table, open_connection& connection)
{
    release(table.budgets, connection.share, connection.share.bytes);
    connection.body_bytes = 0;
    connection.observed_bytes = 0;
    connection.counted_response_bytes = 0;
    connection.body.reset();
}

void begin_end(connection_table& table, open_connection& connection, base::mono_time close_at)
{
    release_all(table, connection);
    connection.is_ending = true;
    connection.close_at = close_at;
    if (connection.input)
    {
        connection.input->discards = true;
    }
}

void send_now(open_connection const& connection, rejection const& answer)
{
    auto const response = encode(answer);
    (void)send(g_socket_get_fd(connection.socket.get()), response.data(), response.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
}

rejection no_room_for_response()
{
    return {status::bad_gateway,
            {result_code::outcome_unknown, "there is no memory for the response now"}};
}

/// Answers the request of a connection that is about to be closed, unless its answer has begun.
void refuse_shed_request(open_connection const& connection)
{
    if (connection.is_ending || connection.is_response_begun)
    {
        return;
    }
    if (connection.is_being_answered)
    {
        send_now(connection, no_room_for_response());
    }
    else if (connection.is_in_use || is_reading_head(connection))
    {
        send_now(connection, no_room_for_request());
    }
}

void shed(connection_table& table, open_connection& connection, char const* reason,
          base::mono_time now)
{
    ++table.refused.shed;
    base::log_line(base::log_level::info, "connection_shed",
                   {{"reason", reason},
                    {"bytes", static_cast<std::int64_t>(connection.share.bytes)},
                    {"unwritten", static_cast<std::int64_t>(connection.queued_response_bytes)},
                    {"in_use", std::int64_t{connection.is_in_use}}});
    if (auto const response = connection.response_share.lock())
    {
        base::give_up(*response);
    }
    refuse_shed_request(connection);
    begin_end(table, connection, now);
    close_connection(connection, close_reason::no_room);
}

open_connection* find_oldest_stalled(connection_table& table, open_connection const* kept,
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
    return oldest;
}

/// Whether a connection between two requests has received more, which the main loop is about to
/// read.
bool has_unread_request(open_connection const& connection)
{
    return serves_requests(connection) && !connection.is_in_use && !is_reading_head(connection) &&
           unread_bytes(connection) > 0;
}

std::size_t count_open(connection_table const& table)
{
    return static_cast<std::size_t>(std::count_if(table.open.begin(), table.open.end(),
                                                  [](auto const& entry)
                                                  { return !entry.second.is_closed; }));
}

void note_received(connection_table const& table, open_connection& connection, std::size_t bytes,
                   base::mono_time now)
{
    note_activity(table, connection, now);
    connection.bytes_since_progress += bytes;
    if (connection.bytes_since_progress >= progress_bytes)
    {
        connection.bytes_since_progress = 0;
        connection.progress_at = now;
    }
}

} // namespace

connection_table::~connection_table()
{
    for (auto& [key, connection] : open)
    {
        release_all(*this, connection);
    }
}

void attach_socket(GSocketAddress* remote, GSocket* socket)
{
    g_object_set_data_full(G_OBJECT(remote), socket_data_name, g_object_ref(socket),
                           g_object_unref);
}

void set_limits(connection_table& table, server_limits const& limits)
{
    table.limits = limits;
    for (auto& [key, connection] : table.open)
    {
        connection.idle_deadline =
            std::max(connection.idle_deadline, connection.active_at + limits.idle_timeout);
        if (connection.head_deadline != base::mono_time{})
        {
            connection.head_deadline =
                std::max(connection.head_deadline, connection.head_began_at + limits.head_timeout);
        }
        if (connection.input)
        {
            connection.input->max_head_bytes = limits.max_head_bytes;
        }
    }
}

open_connection* find_connection(connection_table& table, GSocket* socket)
{
    auto const it = table.open.find(socket);
    return it != table.open.end() ? &it->second : nullptr;
}

bool serves_requests(open_connection const& connection)
{
    return !connection.is_ending && !connection.is_closed;
}

bool is_reading_head(open_connection const& connection)
{
    return connection.input && connection.input->part == message_part::head &&
           connection.input->head.bytes > 0;
}

void note_activity(connection_table const& table, open_connection& connection, base::mono_time now)
{
    connection.active_at = now;
    connection.idle_deadline = now + table.limits.idle_timeout;
    connection.deferred_at_head_bytes.reset();
}

open_connection* add_connection(connection_table& table, base::object_ptr<GSocket> socket,
                                base::mono_time now)
{
    while (count_open(table) >= table.limits.max_connections)
    {
        if (!shed_stalled(table, nullptr, "too many connections", now))
        {
            ++table.refused.not_accepted;
            return nullptr;
        }
    }
    request_share share;
    while (!reserve(table.budgets, share, connection_bytes))
    {
        if (!shed_stalled(table, nullptr, "no memory for a further connection", now))
        {
            ++table.refused.not_accepted;
            return nullptr;
        }
    }
    auto* const key = socket.get();
    auto& added = table.open[key];
    added.socket = std::move(socket);
    added.share = share;
    note_activity(table, added, now);
    added.progress_at = now;
    return &added;
}

void remove_connection(connection_table& table, GSocket* socket)
{
    auto const it = table.open.find(socket);
    if (it == table.open.end())
    {
        return;
    }
    release_all(table, it->second);
    if (it->second.remote)
    {
        g_object_set_data(G_OBJECT(it->second.remote.get()), socket_data_name, nullptr);
    }
    table.open.erase(it);
}

bool reserve_for(connection_table& table, open_connection& connection, std::size_t bytes,
                 base::mono_time now)
{
    while (!reserve(table.budgets, connection.share, bytes))
    {
        if (!shed_stalled(table, &connection, "no memory for another request", now))
        {
            return false;
        }
    }
    return true;
}

void release_from(connection_table& table, open_connection& connection, std::size_t bytes)
{
    release(table.budgets, connection.share, bytes);
}

bool reserve_head(connection_table& table, open_connection& connection, base::mono_time now)
{
    release_from(table, connection, connection.observed_bytes);
    connection.observed_bytes = 0;
    auto const& head = connection.input->head;
    return reserve_for(table, connection, head.bytes * head_copies + head.lines * header_bytes,
                       now);
}

std::size_t max_body(connection_table const& table)
{
    auto const room = table.budgets.large_requests->max_bytes;
    return std::min(table.limits.max_body_bytes, room - std::min(room, max_head_share_bytes));
}

rejection reject_large_body(connection_table const& table)
{
    return {status::content_too_large,
            {result_code::request_too_large,
             fmt::format("the request body exceeds the limit of {} bytes", max_body(table))}};
}

rejection no_room_for_request()
{
    return {status::unavailable,
            {result_code::overloaded, "there is no memory for the request now"},
            retry_after_no_room};
}

void receive_body(connection_table& table, open_connection& from, std::string_view bytes,
                  base::mono_time now)
{
    if (!serves_requests(from))
    {
        return;
    }
    if (!from.body)
    {
        from.body.reset(g_byte_array_new());
    }
    if (from.body->len + bytes.size() > max_body(table))
    {
        reject_request(table, from, reject_large_body(table), now);
        return;
    }
    if (!reserve_for(table, from, bytes.size(), now))
    {
        reject_request(table, from, no_room_for_request(), now);
        return;
    }
    g_byte_array_append(from.body.get(), reinterpret_cast<guint8 const*>(bytes.data()),
                        static_cast<guint>(bytes.size()));
    note_received(table, from, bytes.size(), now);
}

shared_bytes take_body(open_connection& from)
{
    from.body_bytes = from.body ? from.body->len : 0;
    return from.body ? adopt_bytes(g_byte_array_free_to_bytes(from.body.release()))
                     : copy_bytes({});
}

void release_body(connection_table& table, open_connection& connection)
{
    release(table.budgets, connection.share, std::exchange(connection.body_bytes, 0));
}

bool queue_response(connection_table& table, open_connection& connection, std::size_t bytes,
                    bool counted, base::mono_time now)
{
    if (counted && bytes <= short_response_bytes)
    {
        count_held(table.budgets, connection.share, bytes);
    }
    else if (counted && !reserve_for(table, connection, bytes, now))
    {
        ++table.refused.dropped_responses;
        return false;
    }
    connection.counted_response_bytes += counted ? bytes : 0;
    connection.queued_response_bytes += bytes;
    connection.is_response_begun = true;
    note_activity(table, connection, now);
    connection.progress_at = now;
    return true;
}

void note_written(connection_table& table, open_connection& connection, std::size_t bytes,
                  base::mono_time now)
{
    connection.queued_response_bytes -= std::min(bytes, connection.queued_response_bytes);
    auto const counted = std::min(bytes, connection.counted_response_bytes);
    connection.counted_response_bytes -= counted;
    release(table.budgets, connection.share, counted);
    note_activity(table, connection, now);
    connection.progress_at = now;
}

void end_request(connection_table& table, open_connection& connection, base::mono_time now)
{
    connection.is_in_use = false;
    connection.is_being_answered = false;
    connection.is_response_begun = false;
    connection.is_admitted = false;
    connection.body.reset();
    connection.body_bytes = 0;
    connection.observed_bytes = 0;
    connection.counted_response_bytes = 0;
    connection.queued_response_bytes = 0;
    connection.response_share.reset();
    connection.bytes_since_progress = 0;
    note_activity(table, connection, now);
    connection.progress_at = now;
    if (connection.share.bytes > connection_bytes)
    {
        release(table.budgets, connection.share, connection.share.bytes - connection_bytes);
    }
}

bool shed_stalled(connection_table& table, open_connection const* kept, char const* reason,
                  base::mono_time now)
{
    while (auto* const oldest = find_oldest_stalled(table, kept, now))
    {
        if (!has_unread_request(*oldest))
        {
            shed(table, *oldest, reason, now);
            return true;
        }
        oldest->progress_at = now;
    }
    return false;
}

void begin_rejection(connection_table& table, open_connection& connection, rejection const& answer,
                     base::mono_time now)
{
    ++table.refused.rejected[answer.status];
    base::log_line(base::log_level::info, "request_rejected",
                   {{"status", std::int64_t{answer.status}},
                    {"code", answer.error.code},
                    {"reason", answer.error.message},
                    {"bytes", static_cast<std::int64_t>(connection.share.bytes)},
                    {"held", static_cast<std::int64_t>(table.budgets.process->used_bytes)}});
    begin_end(table, connection, now + linger_time);
}

void reject_request(connection_table& table, open_connection& connection, rejection const& answer,
                    base::mono_time now)
{
    begin_rejection(table, connection, answer, now);
    if (connection.is_being_answered)
    {
        // A second answer must not overtake the one that is being written.
        return;
    }
    send_now(connection, answer);
    g_socket_shutdown(connection.socket.get(), FALSE, TRUE, nullptr);
}

} // namespace gooseberrywood::http
