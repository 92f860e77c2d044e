#ifndef GOOSEBERRYWOOD_FLEET_CLIENT_LIMITS_HPP
#define GOOSEBERRYWOOD_FLEET_CLIENT_LIMITS_HPP

#include "base/time.hpp"

#include <cstddef>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief What callers may send, as the configuration states it. The defaults apply to what it does
/// not state.
struct client_limits
{
    /// Maximum size of the head of a request, in bytes.
    std::size_t max_head_bytes = std::size_t{128} * 1024;
    /// Maximum size of the body of a request, in bytes.
    std::size_t max_body_bytes = std::size_t{32} * 1024 * 1024;
    /// Time for the head of a request.
    base::duration head_timeout = std::chrono::seconds(30);
    /// Time that a connection may be idle.
    base::duration idle_timeout = std::chrono::seconds(30);
};

} // namespace gooseberrywood::fleet

#endif
