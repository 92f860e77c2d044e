#ifndef GOOSEBERRYWOOD_HTTP_CONNECTION_TABLE_HPP
#define GOOSEBERRYWOOD_HTTP_CONNECTION_TABLE_HPP

#include "base/glib_ptr.hpp"
#include "base/time.hpp"
#include "http/message_framing.hpp"
#include "http/rejection.hpp"
#include "http/request_share.hpp"
#include "http/server_limits.hpp"
#include "http/shared_bytes.hpp"

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Releases a GByteArray.
struct byte_array_unref
{
    void operator()(GByteArray* array) const
    {
        g_byte_array_unref(array);
    }
};

/// \ingroup http
/// \brief An open connection of a server.
struct open_connection
{
    base::object_ptr<GSocket> socket;
    /// Address to which the socket is attached; see `attach_socket`.
    base::object_ptr<GSocketAddress> remote;
    /// Framing of what is received.
    std::shared_ptr<message_framing> input;
    /// A request is being read or answered.
    bool is_in_use = false;
    /// A request was read to its end and is being answered.
    bool is_being_answered = false;
    /// A part of the response to it was queued, so that no other may be sent.
    bool is_response_begun = false;
    /// The connection is about to be closed. What still arrives is discarded.
    bool is_ending = false;
    /// This process has closed the connection, and libsoup is about to notice it.
    bool is_closed = false;
    /// The request may have a long body; see `server::admit`.
    bool is_admitted = false;
    /// Body received so far; null before its first byte.
    std::unique_ptr<GByteArray, byte_array_unref> body;
    /// What is held for the connection, its request and its response.
    request_share share;
    /// Part of `share` for what `check_connections` saw: an unfinished head, or bytes that wait
    /// unread in the socket.
    std::size_t observed_bytes = 0;
    /// Part of `share` for the body of a request that is being answered.
    std::size_t body_bytes = 0;
    /// Part of `share` for the response.
    std::size_t counted_response_bytes = 0;
    /// Bytes of the response that are not written yet, also those that count elsewhere.
    std::size_t queued_response_bytes = 0;
    /// Counts the bytes of a response of an upstream.
    std::weak_ptr<base::byte_share> response_share;
    /// Last time at which a byte was received or written.
    base::mono_time active_at{};
    /// Time up to which the client may let the connection idle, by the limits in effect at
    /// `active_at` or longer ones that came later: the client may not know of shorter ones yet.
    base::mono_time idle_deadline{};
    /// Last time at which the connection was used, or a request or response made progress.
    base::mono_time progress_at{};
    /// Bytes received since then.
    std::size_t bytes_since_progress = 0;
    /// Time at which a check saw the begin of the head that is being received.
    base::mono_time head_began_at{};
    /// Time up to which that head must be complete; unset while none is received.
    base::mono_time head_deadline{};
    /// Bytes of the head when a check last deferred its judgement; see `must_be_read_first`.
    std::optional<std::size_t> deferred_at_head_bytes;
    /// The connection is closed at this time if it is ending.
    base::mono_time close_at{};
};

/// \ingroup http
/// \brief Counts of what a server has refused, for metrics.
struct refusal_counts
{
    /// Requests that were answered before they were read to their end, by status.
    std::map<std::uint16_t, std::uint64_t> rejected;
    /// Connections that were closed because they had stalled while there was no room for others.
    std::uint64_t shed = 0;
    /// Connections that were not accepted.
    std::uint64_t not_accepted = 0;
    /// Responses that found no room until they could be written.
    std::uint64_t dropped_responses = 0;
};

/// \ingroup http
/// \brief Open connections of a server by their sockets, and the memory that they hold.
struct connection_table
{
    ~connection_table();

    std::map<GSocket*, open_connection> open;
    server_limits limits;
    /// Shared by all servers of a process.
    memory_budgets budgets;
    refusal_counts refused;
};

/// \ingroup http
/// \brief Attaches a socket to its remote address. libsoup tells the handler of a request only that
/// address of a connection that it has not accepted itself. The socket holds the address, too, so
/// the two live until the connection is removed.
void attach_socket(GSocketAddress* remote, GSocket* socket);

/// \ingroup http
/// \brief Sets new limits. What has begun on open connections keeps its deadlines, unless the new
/// ones are later.
void set_limits(connection_table& table, server_limits const& limits);

/// \ingroup http
/// \brief Finds a connection.
/// \returns null if it is not open any more.
[[nodiscard]] open_connection* find_connection(connection_table& table, GSocket* socket);

/// \ingroup http
/// \brief Whether requests on the connection are served. Those on one that this process ends are
/// not, even if they arrived before.
[[nodiscard]] bool serves_requests(open_connection const& connection);

/// \ingroup http
/// \brief Whether a part of a head was received.
[[nodiscard]] bool is_reading_head(open_connection const& connection);

/// \ingroup http
/// \brief Records that a byte was received or written.
void note_activity(connection_table const& table, open_connection& connection, base::mono_time now);

/// \ingroup http
/// \brief Adds a connection. When there is no room for it, a stalled one is closed.
/// \returns null if there is still no room.
[[nodiscard]] open_connection*
add_connection(connection_table& table, base::object_ptr<GSocket> socket, base::mono_time now);

/// \ingroup http
/// \brief Removes a connection that was closed.
void remove_connection(connection_table& table, GSocket* socket);

/// \ingroup http
/// \brief Counts the head of a request, whose parsed headers take many times their bytes.
/// \returns false if there is no room for it.
[[nodiscard]] bool reserve_head(connection_table& table, open_connection& connection,
                                base::mono_time now);

/// \ingroup http
/// \brief Appends received bytes to the body of a request. Rejects the request if the body is too
/// large, or if there is no room for it once stalled connections were closed.
void receive_body(connection_table& table, open_connection& from, std::string_view bytes,
                  base::mono_time now);

/// \ingroup http
/// \brief The longest body that a server takes: the limit, or what its memory can hold.
[[nodiscard]] std::size_t max_body(connection_table const& table);

/// \ingroup http
/// \brief Rejects a request whose body is too large.
[[nodiscard]] rejection reject_large_body(connection_table const& table);

/// \ingroup http
/// \brief Rejects a request for which there is no memory now.
[[nodiscard]] rejection no_room_for_request();

/// \ingroup http
/// \brief Takes the whole body of a request from its connection. Its memory stays reserved until
/// `release_body` is called or the request ends.
[[nodiscard]] shared_bytes take_body(open_connection& from);

/// \ingroup http
/// \brief Returns the memory of a body that is not needed any more.
void release_body(connection_table& table, open_connection& connection);

/// \ingroup http
/// \brief Reserves further memory for the request of a connection, in bytes. Stalled connections
/// are closed if necessary.
[[nodiscard]] bool reserve_for(connection_table& table, open_connection& connection,
                               std::size_t bytes, base::mono_time now);

/// \ingroup http
/// \brief Returns memory that was reserved for the request of a connection, in bytes.
void release_from(connection_table& table, open_connection& connection, std::size_t bytes);

/// \ingroup http
/// \brief Records that a part of the response was queued.
/// \param counted whether the connection must hold memory for it.
/// \returns false, without a change, if there is no memory for it.
[[nodiscard]] bool queue_response(connection_table& table, open_connection& connection,
                                  std::size_t bytes, bool counted, base::mono_time now);

/// \ingroup http
/// \brief Records that a part of the response was written.
void note_written(connection_table& table, open_connection& connection, std::size_t bytes,
                  base::mono_time now);

/// \ingroup http
/// \brief Releases the memory of a request that has ended.
void end_request(connection_table& table, open_connection& connection, base::mono_time now);

/// \ingroup http
/// \brief Closes the stalled connection that has made no progress for the longest time, and returns
/// what it holds. A request on it that has no part of its answer yet is refused; what waits unread
/// on a connection between two requests counts as progress.
///
/// \param kept connection that is not closed; may be null.
///
/// \returns false if no connection has stalled.
bool shed_stalled(connection_table& table, open_connection const* kept, char const* reason,
                  base::mono_time now);

/// \ingroup http
/// \brief Records a rejection, releases what the request holds and discards what the client still
/// sends, until the client closes the connection or some time has passed.
void begin_rejection(connection_table& table, open_connection& connection, rejection const& answer,
                     base::mono_time now);

/// \ingroup http
/// \brief As above, and sends the answer. The client can read it while it still sends.
void reject_request(connection_table& table, open_connection& connection, rejection const& answer,
                    base::mono_time now);

} // namespace gooseberrywood::http

#endif
