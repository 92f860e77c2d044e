#ifndef GOOSEBERRYWOOD_ROUTING_ATTEMPT_LOG_HPP
#define GOOSEBERRYWOOD_ROUTING_ATTEMPT_LOG_HPP

#include "base/result_code.hpp"
#include "base/time.hpp"
#include "routing/claim_round.hpp"
#include "routing/decision.hpp"
#include "routing/retry_budget.hpp"
#include "routing/upstream_id.hpp"

#include <cstdint>
#include <random>
#include <vector>

namespace gooseberrywood::routing
{

/// \brief Time for which a lost attempt waits for the answer to its Fence. A live agent reconnects
/// within this time (a silent connection is closed after 3 s); a longer wait only delays the
/// caller's answer.
inline constexpr base::duration fence_timeout = std::chrono::seconds(5);

/// \ingroup routing
/// \brief State of a request.
enum class request_phase : std::uint8_t
{
    /// In the entry's queue or waiting for its retry time; no attempt is in flight.
    queued,
    /// An attempt was sent and may be in the agent's queue.
    sent,
    /// The attempt was handed to the upstream.
    started,
    /// The attempt's connection was lost before the attempt was known to have started. Its frames
    /// are still processed, but it ends with the answer to the Fence.
    fencing,
    done,
};

/// \ingroup routing
/// \brief State machine of the attempts of one request. Each `on_` function handles one event and
/// returns the action to take; events of abandoned attempts and events after the end are ignored.
///
/// Invariants: tokens are forwarded once and without gaps; a non-idempotent request gets another
/// attempt only if no earlier one has run; a request that may have run never fails as "not run"; a
/// stream completes only after all its tokens have been forwarded.
struct attempt_log
{
    bool idempotent = false;
    bool stream = false;
    base::mono_time deadline{};

    request_phase phase = request_phase::queued;
    /// Number of the last attempt sent; the first one is 1.
    std::uint32_t attempt = 0;
    /// Upstreams of all attempts; the next choice excludes them.
    std::vector<upstream_id> tried;
    /// Tokens forwarded to the caller; the next attempt resumes at this number.
    std::uint32_t passed_tokens = 0;
    std::uint32_t retries = 0;
    /// Whether the last attempt, or an earlier one, may have run, that is, nothing proves the
    /// contrary.
    bool attempt_may_have_run = false;
    bool earlier_may_have_run = false;
    /// A frame has proven that the last attempt ran; a later "not run" for it is disregarded.
    bool attempt_ran = false;
    /// An agent has reported that the upstream crashed during an attempt.
    bool crashed = false;
    base::mono_time fence_until{};
    /// The request id derives from an Idempotency-Key whose claim has not succeeded yet. An earlier
    /// request with the same key may have run, so no failure is reported as "not run".
    bool claim_pending = false;
};

/// \ingroup routing
/// \brief Retry budget and random generator, shared by all requests of an entry.
struct retry_context
{
    retry_budget& budget;
    std::mt19937_64& random;
};

/// \brief Creates the log of a request that has entered the queue.
[[nodiscard]] attempt_log start_log(bool idempotent, bool stream, base::mono_time deadline);

/// \brief Handles the start of a claim of the request's id; no attempt may be sent before it has
/// succeeded.
void on_claim_started(attempt_log& log);

/// \brief Handles the outcome of the claim.
/// \returns a failure with `outcome_unknown` unless the request may run.
decision on_claim_decided(attempt_log& log, claim_outcome outcome);

/// \brief Time at which `on_timer` must be called next.
[[nodiscard]] base::mono_time next_timeout(attempt_log const& log);

/// \brief Registers an attempt that is about to be sent. Requires phase `queued`.
/// \returns the attempt's number for its Start, which resumes at `passed_tokens`.
[[nodiscard]] std::uint32_t on_sent(attempt_log& log, upstream_id upstream);

/// \brief Handles a Started frame.
decision on_started(attempt_log& log, std::uint32_t attempt);

/// \brief Handles a Chunk frame. A chunk that neither continues nor repeats the forwarded tokens
/// ends the attempt.
decision on_chunk(attempt_log& log, std::uint32_t attempt, std::uint32_t first_token,
                  std::uint32_t tokens, base::mono_time now, retry_context context);

/// \brief Handles a Finished frame.
/// \param total_tokens tokens of the whole answer, including those of earlier attempts.
decision on_finished(attempt_log& log, std::uint32_t attempt, std::uint32_t total_tokens,
                     base::mono_time now, retry_context context);

/// \brief Handles a Refuse frame.
/// \param retry_at the agent's retry-after on the monotonic clock, or a time in the past.
decision on_refused(attempt_log& log, std::uint32_t attempt, base::result_code code, bool not_run,
                    base::mono_time retry_at, base::mono_time now, retry_context context);

/// \brief Handles the loss of the connection to the agent of the current attempt.
decision on_connection_lost(attempt_log& log, base::mono_time now, retry_context context);

/// \brief Handles a Fenced frame. To be called with `started` when the agent reconnects with
/// another incarnation, since its ledger is lost.
decision on_fenced(attempt_log& log, std::uint32_t attempt, bool started, base::mono_time now,
                   retry_context context);

/// \brief Ends the request, or the wait for Fenced, when its time is reached.
decision on_timer(attempt_log& log, base::mono_time now);

/// \brief Fails a request that the entry can't place, for example with `team_queue_full`,
/// `no_upstream` or `crash_suspect`. Requires phase `queued`; has no effect after the end.
decision on_placement_failed(attempt_log& log, base::result_code code);

/// \brief Handles the disconnection of the caller.
decision on_canceled(attempt_log& log);

/// \brief Handles an answer that exceeds a size limit. It goes on without end, or its caller asked
/// for too much; another attempt would not help.
decision on_answer_too_large(attempt_log& log);

/// \brief Handles the revocation of the caller's key.
decision on_key_withdrawn(attempt_log& log);

/// \brief Handles a configuration that has become too old to tell whether the caller's key is
/// valid. The result is not `key_withdrawn`, since a caller would then stop using a valid key.
decision on_configuration_stale(attempt_log& log);

} // namespace gooseberrywood::routing

#endif
