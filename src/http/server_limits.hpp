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
    /// Bytes that all open connections together may occupy, with the requests that are received or
    /// answered on them.
    std::size_t memory_bytes = std::size_t{56} * 1024 * 1024;
    std::size_t max_connections = 950;
    /// A larger body is answered with 413.
    std::size_t max_body_bytes = http::max_body_bytes;
    /// A larger head is answered with 431.
    std::size_t max_head_bytes = http::max_head_bytes;
    /// Time for a whole head, from its first byte. Later, the request is answered with 408.
    base::duration head_timeout = std::chrono::seconds(30);
    /// Time without a request, or without progress of its body, after which a connection is closed.
    base::duration idle_timeout = std::chrono::seconds(30);
};

} // namespace gooseberrywood::http

#endif
