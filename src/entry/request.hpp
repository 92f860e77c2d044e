#ifndef GOOSEBERRYWOOD_ENTRY_REQUEST_HPP
#define GOOSEBERRYWOOD_ENTRY_REQUEST_HPP

#include "base/byte_budget.hpp"
#include "base/event_source.hpp"
#include "base/request_id.hpp"
#include "base/time.hpp"
#include "entry/caller_request.hpp"
#include "http/exchange.hpp"
#include "routing/attempt_log.hpp"
#include "routing/attempt_ticket.hpp"
#include "routing/claim_round.hpp"
#include "wire/message.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywood::entry
{

/// \ingroup entry
/// \brief A caller's request that is not answered yet.
struct request
{
    base::request_id id;
    caller_request caller;
    std::shared_ptr<http::exchange> exchange;
    base::mono_time arrived_at{};
    routing::attempt_log log;
    /// Handed to an upstream later than this, it would probably miss its deadline.
    base::mono_time latest_dispatch{};
    /// Set while the claim of an Idempotency-Key is undecided.
    std::optional<routing::claim_round> claim;
    /// Accounts for the current attempt at its upstream.
    std::optional<routing::attempt_ticket> ticket;
    /// Where the current attempt is; empty while the request waits.
    std::string agent_host;
    std::string upstream;
    /// Incarnation of the agent that got the attempt: another one has no memory of it.
    std::uint64_t agent_incarnation = 0;
    bool fence_pending = false;
    /// Bytes of all passed tokens, kept to answer as a whole or to resume elsewhere: events of a
    /// streamed answer, else text.
    std::string passed;
    /// Counts the bytes of `passed`; absent while it is empty.
    std::shared_ptr<base::byte_share> passed_share;
    /// The end of the answer, once it has arrived.
    wire::finished end;
    std::string refusal_message;
    base::event_source timer;
};

} // namespace gooseberrywood::entry

#endif
