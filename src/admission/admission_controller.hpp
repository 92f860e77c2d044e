#ifndef GOOSEBERRYWOOD_ADMISSION_ADMISSION_CONTROLLER_HPP
#define GOOSEBERRYWOOD_ADMISSION_ADMISSION_CONTROLLER_HPP

#include "admission/attempt_key.hpp"
#include "admission/credit_shares.hpp"
#include "admission/fair_queue.hpp"
#include "admission/finish_report.hpp"
#include "admission/ledger.hpp"
#include "admission/limiter.hpp"
#include "admission/queued_start.hpp"
#include "admission/refusal.hpp"
#include "admission/running_attempt.hpp"
#include "admission/service_estimate.hpp"
#include "admission/suspect_marks.hpp"
#include "base/time.hpp"
#include "bundle/route.hpp"
#include "bundle/team.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Settings of the admission controller of one upstream.
struct admission_settings
{
    limiter_settings concurrency;
    ledger_settings attempts;
};

/// \ingroup admission
/// \brief Admission controller of one upstream: concurrency limit, queue, ledger and credit.
struct admission_controller
{
    limiter concurrency;
    fair_queue<queued_start> queue;
    ledger attempts;
    credit_shares shares;
    suspect_marks marks;
    service_estimate service;
    /// At most `limit` attempts. A map suffices, since the number is small and withdrawals visit
    /// all.
    std::map<attempt_key, running_attempt> running;
    /// Running attempts that have a crash id.
    std::uint32_t running_suspects = 0;
    /// Code with which all new work is refused while the upstream is drained.
    std::optional<base::result_code> drain_code;
};

/// \ingroup admission
/// \brief Result of `offer`: the start is queued unless it is refused.
struct offer_result
{
    std::optional<refusal> refused;
    /// Refusal of a lower attempt of the same request that the offered one replaced in the queue.
    std::optional<refusal> superseded;
};

/// \ingroup admission
/// \brief Result of `start_next`.
struct next_result
{
    /// Attempt to be sent to the upstream now; it already counts as running.
    std::optional<queued_start> start;
    /// Attempts whose deadlines can no longer be met.
    std::vector<refusal> refused;
};

/// \ingroup admission
/// \brief Attempts ended by an event.
struct ended_attempts
{
    /// Refusals of attempts that were removed from the queue.
    std::vector<refusal> refused;
    /// After a crash: lost attempts, which no longer count as running. Otherwise: attempts to be
    /// aborted at the upstream and then reported by `finish_attempt` with the outcome `canceled`.
    std::vector<running_attempt> running;
};

/// \ingroup admission
/// \brief Result of `cancel`.
struct cancel_result
{
    /// Set when the attempt was queued.
    std::optional<refusal> refused;
    /// True when the attempt is running: abort it at the upstream, then call `finish_attempt`.
    bool is_running = false;
};

/// \ingroup admission
/// \brief Load of an upstream as reported to the entries.
struct load_report
{
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Average time at the upstream per token of cost; a request to a plain service costs one. It
    /// is not an average per request: an upstream that last served long answers would look slow for
    /// ever, since it would get no shorter ones that could correct the average.
    base::duration latency{0};
    bool accepting = false;
};

/// \brief Creates the controller of an upstream that starts serving now.
[[nodiscard]] admission_controller make_admission_controller(admission_settings const& settings,
                                                             base::mono_time now);

/// \brief Applies the limits of a route.
void apply_route(admission_controller& controller, bundle::route const& limits);

/// \brief Applies the weights and bounds of all teams and removes other teams that are idle.
void apply_teams(admission_controller& controller, std::span<bundle::team const> teams);

/// \brief Queues a start or refuses it.
[[nodiscard]] offer_result offer(admission_controller& controller, queued_start item,
                                 base::mono_time now);

/// \brief Starts the next attempt, if the limit allows one. To be called again after it has
/// returned one, after `offer` and `finish_attempt`, and at `next_deadline`.
[[nodiscard]] next_result start_next(admission_controller& controller, base::mono_time now);

/// \brief Time at which the next queued attempt has to be refused; nothing when none is queued.
[[nodiscard]] std::optional<base::mono_time> next_deadline(admission_controller const& controller);

/// \brief Ends a running attempt.
/// \returns the effect on the limit; `none` for an attempt that is not running (it was lost).
limit_change finish_attempt(admission_controller& controller, base::request_id const& id,
                            std::uint32_t attempt, finish_report const& report,
                            base::mono_time now);

/// \brief Restarts the envelope, the limit and the estimate of service times, for an upstream that
/// may have been replaced. Running attempts continue.
void restart_warm_up(admission_controller& controller, base::mono_time now);

/// \brief Handles a crash of the upstream: removes and marks the running attempts and restarts the
/// envelope.
/// \param crash_id a new random number, which is added to the mark of each lost attempt.
[[nodiscard]] ended_attempts handle_crash(admission_controller& controller, std::uint64_t crash_id,
                                          base::mono_time now);

/// \brief Adds crashes of other upstreams to the mark of a fingerprint.
/// \returns refusals of queued attempts that now have two crashes.
[[nodiscard]] std::vector<refusal> mark_suspect(admission_controller& controller,
                                                std::uint64_t fingerprint,
                                                std::span<std::uint64_t const> crash_ids,
                                                base::mono_time expires_at, base::mono_time now);

/// \brief Refuses all new and all queued work; running attempts may finish.
/// \param code why: `upstream_leaving`, `shutting_down`, `domain_out` or `configuration_stale`.
[[nodiscard]] std::vector<refusal> drain(admission_controller& controller, base::result_code code,
                                         base::mono_time now);

/// \brief Accepts work again after `drain`.
void reopen(admission_controller& controller);

/// \brief Whether no attempt is queued or running.
[[nodiscard]] bool is_idle(admission_controller const& controller);

/// \brief Cancels one attempt on behalf of its entry.
[[nodiscard]] cancel_result cancel(admission_controller& controller, base::request_id const& id,
                                   std::uint32_t attempt, base::mono_time now);

/// \brief Prevents the start of an attempt and of all earlier ones, unless one has started.
/// \returns true when one has started or this can't be ruled out.
[[nodiscard]] bool fence(admission_controller& controller, base::request_id const& id,
                         std::uint32_t attempt, base::mono_time now);

/// \brief Ends all attempts of a revoked key.
[[nodiscard]] ended_attempts withdraw_key(admission_controller& controller,
                                          std::string_view key_hash, base::mono_time now);

/// \brief Adds a connected entry.
void connect(admission_controller& controller, std::uint64_t entry);

/// \brief Removes a disconnected entry. Its queued attempts and its running idempotent ones end;
/// the others run to completion, so that the ledger records their end.
[[nodiscard]] ended_attempts disconnect(admission_controller& controller, std::uint64_t entry,
                                        base::mono_time now);

/// \brief Recomputes the credit of the entries. To be called about once a second.
/// \returns the shares that changed.
[[nodiscard]] std::vector<share_change> rebalance(admission_controller& controller,
                                                  base::mono_time now);

/// \brief Load as reported to the entries.
[[nodiscard]] load_report load(admission_controller const& controller, base::mono_time now);

} // namespace gooseberrywood::admission

#endif
