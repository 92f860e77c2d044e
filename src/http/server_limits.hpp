#ifndef GOOSEBERRYWOOD_HTTP_SERVER_LIMITS_HPP
#define GOOSEBERRYWOOD_HTTP_SERVER_LIMITS_HPP

#include "base/time.hpp"
#include "http/limits.hpp"
#include "http/message_head.hpp"

#include <cstddef>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief What the clients of a server may send and hold open.
struct server_limits
{
    std::size_t max_connections = http::max_connections;
    /// A larger body is answered with 413.
    std::size_t max_body_bytes = http::max_body_bytes;
    /// A larger head is answered with 431.
    std::size_t max_head_bytes = http::max_head_bytes;
    /// Time for a whole head, from its first byte. Later, the request is answered with 408.
    base::duration head_timeout = std::chrono::seconds(30);
    /// Time without any byte, between requests or within one, after which a connection is closed;
    /// an unfinished request is answered with 408.
    base::duration idle_timeout = std::chrono::seconds(30);
};

} // namespace gooseberrywood::http

#endif
