#include "http/connection_check.hpp"

#include "http/connection_close.hpp"
#include "http/status.hpp"

#include <malloc.h>

#include <cstdint>

namespace gooseberrywood::http
{

namespace
{

using base::result_code;

// Part of a budget that must have been released before free memory is returned to the system.
constexpr std::size_t trim_divisor = 4;
// libsoup's buffer of an unfinished head doubles when it is full.
constexpr std::size_t head_buffer_factor = 2;

/// Whether the client is due to send the rest of a head. It can't be read before the request that
/// came before it is answered.
bool waits_for_head(open_connection const& connection)
{
    return is_reading_head(connection) && !connection.is_being_answered;
}

void note_head(connection_table const& table, open_connection& connection, base::mono_time now)
{
    if (!waits_for_head(connection))
    {
        connection.head_deadline = {};
    }
    else if (connection.head_deadline == base::mono_time{})
    {
        connection.head_began_at = now;
        connection.head_deadline = now + table.limits.head_timeout;
        connection.deferred_at_head_bytes.reset();
    }
}

/// Counts what the connection holds besides its current request.
void observe(connection_table& table, open_connection& connection)
{
    std::size_t bytes = 0;
    if (connection.is_being_answered)
    {
        bytes = unread_bytes(connection);
    }
    else if (is_reading_head(connection))
    {
        bytes = connection.input->head.bytes * head_buffer_factor;
    }
    release_from(table, connection, connection.observed_bytes);
    count_held(table.budgets, connection.share, bytes);
    connection.observed_bytes = bytes;
}

void time_out(connection_table& table, open_connection& connection, char const* reason,
              base::mono_time now)
{
    reject_request(table, connection,
                   {status::request_timeout, {result_code::request_timeout, reason}}, now);
}

/// Whether only the client can end what the connection waits for.
bool waits_for_client(open_connection const& connection)
{
    return !connection.is_being_answered || connection.queued_response_bytes > 0;
}

/// What a client has not sent or read in time.
enum class overdue_part : std::uint8_t
{
    none,
    head,
    body,
    /// The next request, or the reading of an answer.
    any_use,
};

overdue_part find_overdue(open_connection const& connection, base::mono_time now)
{
    if (waits_for_head(connection))
    {
        return now >= connection.head_deadline ? overdue_part::head : overdue_part::none;
    }
    if (!waits_for_client(connection) || now < connection.idle_deadline)
    {
        return overdue_part::none;
    }
    return connection.is_in_use && !connection.is_being_answered ? overdue_part::body
                                                                 : overdue_part::any_use;
}

void check_times(connection_table& table, open_connection& connection, base::mono_time now)
{
    note_head(table, connection, now);
    auto const overdue = find_overdue(connection, now);
    if (overdue == overdue_part::none || must_be_read_first(connection))
    {
        return;
    }
    switch (overdue)
    {
    case overdue_part::head:
        time_out(table, connection, "the head did not arrive in time", now);
        break;
    case overdue_part::body:
        time_out(table, connection, "the body did not arrive in time", now);
        break;
    case overdue_part::any_use:
        close_connection(connection, close_reason::idle);
        break;
    case overdue_part::none:
        break;
    }
}

void check_connection(connection_table& table, open_connection& connection, base::mono_time now)
{
    if (connection.is_closed)
    {
        return;
    }
    if (connection.is_ending)
    {
        if (now >= connection.close_at)
        {
            close_connection(connection, close_reason::rejected);
        }
        return;
    }
    check_times(table, connection, now);
    if (!connection.is_ending && !connection.is_closed)
    {
        observe(table, connection);
    }
}

/// Returns free memory to the system. The allocator keeps short blocks that lie between others, so
/// that later long ones, which lie elsewhere, would come on top of them.
void return_free_memory(base::byte_budget& budget)
{
    if (budget.released_bytes > budget.max_bytes / trim_divisor)
    {
        budget.released_bytes = 0;
        malloc_trim(0);
    }
}

} // namespace

void check_connections(connection_table& table, base::mono_time now)
{
    for (auto& [key, connection] : table.open)
    {
        check_connection(table, connection, now);
    }
    while (!base::has_room(*table.budgets.large_requests, 0) &&
           shed_stalled(table, nullptr, "the requests hold too much memory", now))
    {
    }
    return_free_memory(*table.budgets.process);
}

} // namespace gooseberrywood::http
