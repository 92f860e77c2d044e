#ifndef GOOSEBERRYWOOD_ROUTING_DECISION_HPP
#define GOOSEBERRYWOOD_ROUTING_DECISION_HPP

#include "base/result_code.hpp"
#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief What the entry does after an event of a request.
enum class decision_kind : std::uint8_t
{
    /// Nothing; in particular after a frame of an attempt that was given up.
    ignore,
    /// Pass the tokens of this chunk to the caller.
    forward,
    /// Queue the request again at `at` and then send a further attempt.
    retry,
    /// Send Fence for the current attempt as soon as its agent is connected, until `at`.
    fence,
    /// End the request with `code`.
    fail,
    /// Pass the end of the answer to the caller.
    complete,
};

/// \ingroup routing
/// \brief A decision about one request.
struct decision
{
    decision_kind kind = decision_kind::ignore;
    base::result_code code = base::result_code::ok;
    /// Retry and fence only.
    base::mono_time at{};
    /// True when the current attempt may still run and its agent is to be sent Cancel.
    bool cancel_attempt = false;
    /// Fail only: no attempt of the request has run or can run. Never set when this is in doubt.
    bool not_run = false;
};

} // namespace gooseberrywood::routing

#endif
