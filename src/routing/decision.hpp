#ifndef GOOSEBERRYWOOD_ROUTING_DECISION_HPP
#define GOOSEBERRYWOOD_ROUTING_DECISION_HPP

#include "base/result_code.hpp"
#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Action of the entry after an event of a request.
enum class decision_kind : std::uint8_t
{
    /// No action, for example after a frame of an abandoned attempt.
    ignore,
    /// Forward the tokens of this chunk to the caller.
    forward,
    /// Queue the request again at `due_at`, then send another attempt.
    retry,
    /// Send Fence for the current attempt as soon as its agent is connected, until `due_at`.
    fence,
    /// End the request with `code`.
    fail,
    /// Forward the end of the answer to the caller.
    complete,
};

/// \ingroup routing
/// \brief Decision about one request.
struct decision
{
    decision_kind kind = decision_kind::ignore;
    base::result_code code = base::result_code::ok;
    /// Retry: time at which the request is queued again. Fence: end of the wait for Fenced.
    base::mono_time due_at{};
    /// True when the current attempt may still be running and Cancel is to be sent to its agent.
    bool cancel_attempt = false;
    /// Fail only: no attempt of the request has run or can run. Not set when in doubt.
    bool not_run = false;
};

} // namespace gooseberrywood::routing

#endif
