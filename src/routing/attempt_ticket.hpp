#ifndef GOOSEBERRYWOOD_ROUTING_ATTEMPT_TICKET_HPP
#define GOOSEBERRYWOOD_ROUTING_ATTEMPT_TICKET_HPP

#include "routing/upstream_id.hpp"

#include <cstdint>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Accounting record of one attempt in flight; returned by `begin_attempt` and passed to
/// `end_attempt`.
struct attempt_ticket
{
    upstream_id upstream;
    /// Number of the latest load report when the attempt began.
    std::uint32_t report_number = 0;
    bool suspect = false;
};

} // namespace gooseberrywood::routing

#endif
