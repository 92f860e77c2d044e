#ifndef GOOSEBERRYWOOD_HTTP_LIMITS_HPP
#define GOOSEBERRYWOOD_HTTP_LIMITS_HPP

#include "base/time.hpp"

#include <cstddef>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Largest request body in bytes. A frame (2 MiB) holds it together with a resumed text.
inline constexpr std::size_t max_body_bytes = 1024 * 1024;

/// \ingroup http
/// \brief Most bytes that wait for a caller who reads slowly, before its request is canceled.
inline constexpr std::size_t max_unread_bytes = 8 * 1024 * 1024;

/// \ingroup http
/// \brief Most open connections of a server.
inline constexpr std::size_t max_connections = 16 * 1024;

/// \ingroup http
/// \brief A connection on which the peer sends or reads nothing for so long is closed.
inline constexpr unsigned idle_timeout_s = 30;

/// \ingroup http
/// \brief How often a running request's connection is checked for a caller that went away.
inline constexpr base::duration caller_check_interval = std::chrono::seconds(1);

/// \ingroup http
/// \brief Name under which a connection's socket is attached to its remote address.
inline constexpr char const* socket_data_name = "connection-socket";

} // namespace gooseberrywood::http

#endif
