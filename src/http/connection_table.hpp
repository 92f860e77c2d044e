#ifndef GOOSEBERRYWOOD_HTTP_CONNECTION_TABLE_HPP
#define GOOSEBERRYWOOD_HTTP_CONNECTION_TABLE_HPP

#include "base/error.hpp"
#include "base/glib_ptr.hpp"
#include "base/time.hpp"
#include "http/memory_budget.hpp"
#include "http/message_framing.hpp"
#include "http/server_limits.hpp"
#include "http/shared_bytes.hpp"

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
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
    /// The connection is about to be closed. What still arrives is discarded.
    bool is_ending = false;
    /// Body received so far; null before its first byte.
    std::unique_ptr<GByteArray, byte_array_unref> body;
    memory_share memory;
    /// Part of `memory` that is held for the response.
    std::size_t response_bytes = 0;
    /// Last time at which the connection was used, or a request or response made progress.
    base::mono_time progress_at{};
    /// Bytes received since then.
    std::size_t bytes_since_progress = 0;
    /// Start of the head that is being received; unset while none is.
    base::mono_time head_since{};
    /// The connection is closed at this time if it is ending.
    base::mono_time close_at{};
};

/// \ingroup http
/// \brief Counts of what a server has refused, for metrics.
struct refusal_counts
{
    std::uint64_t bodies_refused = 0;
    std::uint64_t connections_shed = 0;
};

/// \ingroup http
/// \brief Open connections of a server by their sockets, and the memory that they may occupy.
struct connection_table
{
    std::map<GSocket*, open_connection> open;
    server_limits limits;
    memory_budget memory;
    refusal_counts refused;
};

/// \ingroup http
/// \brief Attaches a socket to its remote address. libsoup tells the handler of a request only that
/// address of a connection that it has not accepted itself. The socket holds the address, too, so
/// the two live until the connection is removed.
void attach_socket(GSocketAddress* remote, GSocket* socket);

/// \ingroup http
/// \brief Sets new limits, which also apply to open connections.
void set_limits(connection_table& table, server_limits const& limits);

/// \ingroup http
/// \brief Finds a connection.
/// \returns null if it is not open any more.
[[nodiscard]] open_connection* find_connection(connection_table& table, GSocket* socket);

/// \ingroup http
/// \brief Adds a connection. When there is no room for it, those without progress are closed first.
/// \returns null if there is still no room.
[[nodiscard]] open_connection*
add_connection(connection_table& table, base::object_ptr<GSocket> socket, base::mono_time now);

/// \ingroup http
/// \brief Removes a connection that was closed.
void remove_connection(connection_table& table, GSocket* socket);

/// \ingroup http
/// \brief Rejects a request whose `Content-Length` exceeds the limit, in bytes.
void check_announced_length(connection_table& table, open_connection& connection,
                            std::uint64_t length, base::mono_time now);

/// \ingroup http
/// \brief Appends received bytes to the body of a request. Rejects the request if the body is too
/// large, or if there is no room for it once connections without progress were closed.
void receive_body(connection_table& table, open_connection& from, std::string_view bytes,
                  base::mono_time now);

/// \ingroup http
/// \brief Takes the whole body of a request from its connection. Its memory stays reserved until
/// the request ends.
[[nodiscard]] shared_bytes take_body(open_connection& from);

/// \ingroup http
/// \brief Reserves further memory for the request of a connection, in bytes. Connections without
/// progress are closed if necessary.
[[nodiscard]] bool reserve_for(connection_table& table, open_connection& connection,
                               std::size_t bytes, base::mono_time now);

/// \ingroup http
/// \brief Reserves memory for a part of the response, in bytes. It is released as it is written.
[[nodiscard]] bool reserve_response(connection_table& table, open_connection& connection,
                                    std::size_t bytes, base::mono_time now);

/// \ingroup http
/// \brief Records that a part of the response was written.
void note_written(connection_table& table, open_connection& connection, std::size_t bytes,
                  base::mono_time now);

/// \ingroup http
/// \brief Releases the memory of a request that has ended.
void end_request(connection_table& table, open_connection& connection, base::mono_time now);

/// \ingroup http
/// \brief Answers a request that is not read to its end, which therefore has not run. What the
/// client still sends is discarded for a while, so that it can read the response.
/// \param retry_after_s value of `Retry-After` in seconds; 0 for none.
void reject_request(connection_table& table, open_connection& connection, std::uint16_t status,
                    base::error const& error, double retry_after_s, base::mono_time now);

/// \ingroup http
/// \brief Ends what exceeds its time: heads, bodies and idle connections without progress, and
/// rejected requests whose clients don't close their connections.
void check_connections(connection_table& table, base::mono_time now);

} // namespace gooseberrywood::http

#endif
