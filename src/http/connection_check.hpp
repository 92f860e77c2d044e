#ifndef GOOSEBERRYWOOD_HTTP_CONNECTION_CHECK_HPP
#define GOOSEBERRYWOOD_HTTP_CONNECTION_CHECK_HPP

#include "base/time.hpp"
#include "http/connection_table.hpp"

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Interval at which a server checks its connections. Between two checks, what a client
/// sends ahead is bounded by the receive buffer of its socket only.
inline constexpr base::duration connection_check_interval = std::chrono::milliseconds(250);

/// \ingroup http
/// \brief The same for servers that only the platform and operators call.
inline constexpr base::duration service_check_interval = std::chrono::seconds(2);

/// \ingroup http
/// \brief Ends what exceeds its time: heads, bodies, answers that are not read and idle
/// connections. Counts unfinished heads and what waits unread in the sockets, and closes stalled
/// connections while all that is held exceeds its limit.
void check_connections(connection_table& table, base::mono_time now);

} // namespace gooseberrywood::http

#endif
