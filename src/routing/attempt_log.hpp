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

/// \brief How long a lost attempt waits for the answer to its Fence. An agent that is alive
/// reconnects within this time (a silent connection is closed after 3 s); a longer wait only delays
/// the caller's answer.
inline constexpr base::duration fence_timeout = std::chrono::seconds(5);

/// \ingroup routing
/// \brief Where a request stands.
enum class request_phase : std::uint8_t
{
    /// In the entry's queue, or until a retry is due: no attempt is out.
    queued,
    /// An attempt was sent and may be in the agent's queue.
    sent,
    /// The attempt was handed to the upstream.
    started,
    /// The attempt's connection was lost before it was known to have started. Its frames still
    /// count when they arrive, but it ends with the answer to the Fence.
    fencing,
    done,
};

/// \ingroup routing
/// \brief All that the entry remembers of the attempts of one request. Each event function takes
/// one event and returns what to do; events of attempts that were given up, and events after the
/// end, are ignored.
///
/// It holds: tokens are passed on once and contiguously; a non-idempotent request gets a further
/// attempt only when none before has run; a request that may have run never fails as "not run"; a
/// stream completes only with all its tokens passed.
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
    /// Tokens passed to the caller; the next attempt resumes with this number.
    std::uint32_t passed_tokens = 0;
    std::uint32_t retries = 0;
    /// Whether the last attempt, or one before it, is not proven not to have run.
    bool attempt_may_have_run = false;
    bool earlier_may_have_run = false;
    /// The last attempt has shown that it ran: a later claim of the contrary is not believed.
    bool attempt_ran = false;
    /// An agent has said that the upstream crashed under an attempt.
    bool crashed = false;
    base::mono_time fence_until{};
    /// The request id comes from an Idempotency-Key and is not claimed yet: an earlier request with
    /// the same key may have run, so that nothing is said to be not run.
    bool claim_pending = false;
};

/// \ingroup routing
/// \brief What decides about a retry, shared by all requests of an entry.
struct retry_context
{
    retry_budget& budget;
    std::mt19937_64& random;
};

/// \brief Starts the log of a request that has entered the queue.
[[nodiscard]] attempt_log start_log(bool idempotent, bool stream, base::mono_time deadline);

/// \brief A claim of the request's id has begun; no attempt is sent before it has succeeded.
void on_claim_started(attempt_log& log);

/// \brief The claim was decided.
/// \returns fail with `outcome_unknown` unless the request may run.
decision on_claim_decided(attempt_log& log, claim_outcome outcome);

/// \brief When `on_timer` must be called next.
[[nodiscard]] base::mono_time next_timeout(attempt_log const& log);

/// \brief An attempt is about to be sent; only in phase `queued`.
/// \returns the attempt's number for its Start. The Start resumes at `passed_tokens`.
[[nodiscard]] std::uint32_t on_sent(attempt_log& log, upstream_id upstream);

/// \brief Started arrived.
decision on_started(attempt_log& log, std::uint32_t attempt);

/// \brief Chunk arrived. A chunk that neither continues nor repeats the passed tokens ends the
/// attempt.
decision on_chunk(attempt_log& log, std::uint32_t attempt, std::uint32_t first_token,
                  std::uint32_t tokens, base::mono_time now, retry_context context);

/// \brief Finished arrived.
/// \param total_tokens tokens of the whole answer, including those of earlier attempts.
decision on_finished(attempt_log& log, std::uint32_t attempt, std::uint32_t total_tokens,
                     base::mono_time now, retry_context context);

/// \brief Refuse arrived.
/// \param retry_at the agent's retry-after on the monotonic clock, or a time in the past.
decision on_refused(attempt_log& log, std::uint32_t attempt, base::result_code code, bool not_run,
                    base::mono_time retry_at, base::mono_time now, retry_context context);

/// \brief The connection to the agent of the current attempt was lost.
decision on_connection_lost(attempt_log& log, base::mono_time now, retry_context context);

/// \brief Fenced arrived. An agent that is back with another incarnation counts as
/// `started`, since its ledger is gone.
decision on_fenced(attempt_log& log, std::uint32_t attempt, bool started, base::mono_time now,
                   retry_context context);

/// \brief Time has passed; decides when the deadline or the end of the wait for Fenced is reached.
decision on_timer(attempt_log& log, base::mono_time now);

/// \brief The entry can't place the request, for example with `team_queue_full`, `no_upstream` or
/// `crash_suspect`; only in phase `queued`.
decision on_placement_failed(attempt_log& log, base::result_code code);

/// \brief The caller went away.
decision on_canceled(attempt_log& log);

/// \brief The caller's key was revoked.
decision on_key_withdrawn(attempt_log& log);

/// \brief The entry can't tell any more whether the caller's key is valid. The answer doesn't say
/// that the key was withdrawn: a caller would then stop using a valid key.
decision on_configuration_stale(attempt_log& log);

} // namespace gooseberrywood::routing

#endif
