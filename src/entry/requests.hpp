#ifndef GOOSEBERRYWOOD_ENTRY_REQUESTS_HPP
#define GOOSEBERRYWOOD_ENTRY_REQUESTS_HPP

#include "entry/entry_process.hpp"
#include "routing/decision.hpp"

namespace gooseberrywood::entry
{

/// \brief The request with an id, or nullptr.
[[nodiscard]] request* find_request(entry_process& entry, base::request_id const& id);

/// \brief Puts a request into the queue, or fails it when its team's share of the queue is full.
void enqueue(entry_process& entry, request& which);

/// \brief Sets the timer of a request to the next time at which something must be decided.
void set_timer(entry_process& entry, request& which);

/// \brief Does what an event of a request calls for. The request may be gone afterwards.
void carry_out(entry_process& entry, request& which, routing::decision const& what);

/// \brief The shared means that decide about retries.
[[nodiscard]] routing::retry_context retry_means_of(entry_process& entry);

/// \brief Ends a request that has no attempt out, with an error.
void fail_unplaced(entry_process& entry, request& which, base::error const& why);

/// \brief Sends the pending Fence of a request if its agent is connected. An agent that restarted
/// has no ledger that could rule out the attempt.
void send_fence(entry_process& entry, request& which);

} // namespace gooseberrywood::entry

#endif
