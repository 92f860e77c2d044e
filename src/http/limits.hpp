#ifndef GOOSEBERRYWOOD_HTTP_LIMITS_HPP
#define GOOSEBERRYWOOD_HTTP_LIMITS_HPP

#include "base/time.hpp"

#include <cstddef>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Default maximum size of a request body. A frame (2 MiB) can hold it together with a
/// resumed text.
inline constexpr std::size_t max_body_bytes = 1024 * 1024;

/// \ingroup http
/// \brief Maximum number of response bytes queued for a slow caller before its request is canceled.
inline constexpr std::size_t max_queued_response_bytes = 8 * 1024 * 1024;

/// \ingroup http
/// \brief Default maximum number of open connections of a server.
inline constexpr std::size_t max_connections = 16 * 1024;

/// \ingroup http
/// \brief Interval at which open requests are checked for callers that have disconnected.
inline constexpr base::duration caller_check_interval = std::chrono::seconds(1);

/// \ingroup http
/// \brief Name under which a connection's socket is attached to its remote address.
inline constexpr char const* socket_data_name = "connection-socket";

} // namespace gooseberrywood::http

#endif
