#ifndef GOOSEBERRYWOOD_FLEET_SERVICE_QUEUE_HPP
#define GOOSEBERRYWOOD_FLEET_SERVICE_QUEUE_HPP

#include "admission/service_estimate.hpp"
#include "base/time.hpp"
#include "fleet/service_load.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief A reward call that has waited for this time is ordered like a caller's request of the
/// highest priority. Callers are answered or have given up after two seconds; a sample has several
/// seconds for its reward call, but it counts only once the call is answered.
inline constexpr base::duration reward_promotion_wait = std::chrono::seconds(1);

/// \ingroup fleet
/// \brief A plain request that waits for an upstream.
struct waiting_request
{
    std::uint64_t number = 0;
    /// The request is the reward call of a sample; no caller waits for it alone.
    bool is_reward = false;
    /// The request may have run and the budget of further tries is used up, so it is tried again
    /// only when nothing else waits.
    bool is_deferred = false;
    /// No try of the request has run or may have run.
    bool may_be_refused = true;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::string team;
    base::mono_time entered_at{};
    base::mono_time dispatch_deadline{};
};

/// \ingroup fleet
/// \brief Plain requests of one service that wait in one process, and the measured times from which
/// their waits are predicted.
struct service_queue
{
    /// A team of callers, or the reward calls of a team.
    using turn_key = std::pair<bool, std::string>;

    /// By number.
    std::map<std::uint64_t, waiting_request> waiting;
    /// Number of the turn in which each team was served last, while requests wait.
    std::map<turn_key, std::uint64_t> turns;
    std::uint64_t last_turn = 0;
    /// Times from sending a request to its answer.
    admission::service_estimate service_time;
    /// Intervals at which slots became free while callers' requests waited.
    admission::service_estimate slot_interval;
    std::uint32_t measured_intervals = 0;
    /// When a slot became free last; absent unless callers' requests have waited since then.
    std::optional<base::mono_time> freed_at;
    base::mono_time interval_measured_at{};
};

/// \ingroup fleet
/// \brief A request that is refused before its dispatch deadline.
struct early_refusal
{
    std::uint64_t number = 0;
    /// Expected time at which the request would have been dispatched.
    base::mono_time retry_at{};
};

/// \ingroup fleet
/// \brief Adds a request. A request with the same number is replaced.
void enter(service_queue& queue, waiting_request request);

/// \ingroup fleet
/// \brief Removes a request, if it waits.
void leave(service_queue& queue, std::uint64_t number);

/// \ingroup fleet
/// \brief Removes a request that was sent to an upstream. Its team has had its turn.
void note_dispatched(service_queue& queue, std::uint64_t number);

/// \ingroup fleet
/// \brief Records that an upstream has answered a request, which leaves a free slot.
/// \param service_time time from sending the request to the answer.
void note_slot_freed(service_queue& queue, base::duration service_time, base::mono_time now);

/// \ingroup fleet
/// \brief Order in which the waiting requests are dispatched: requests of callers before reward
/// calls, then by priority, then by turns of the teams, then the earliest dispatch deadline first.
/// Reward calls that have waited for `reward_promotion_wait` come with the most urgent callers.
///
/// Load pattern: bursts of up to 144 reward calls at the end of a step beside a few lookups, on
/// upstreams of which some are several times slower; or a flood of requests of one team.
/// \returns numbers of requests.
[[nodiscard]] std::vector<std::uint64_t> dispatch_order(service_queue const& queue,
                                                        base::mono_time now);

/// \ingroup fleet
/// \brief Removes the requests of callers that can't be dispatched before their dispatch deadline
/// at the measured rate at which slots become free. Without measurements none is removed, nor is
/// one that may have run.
[[nodiscard]] std::vector<early_refusal>
refuse_unreachable(service_queue& queue, service_load const& load, base::mono_time now);

/// \ingroup fleet
/// \brief Removes the requests whose dispatch deadline has passed.
/// \returns their numbers.
[[nodiscard]] std::vector<std::uint64_t> expire(service_queue& queue, base::mono_time now);

/// \ingroup fleet
/// \brief The earliest dispatch deadline of a waiting request.
/// \returns nothing when none waits.
[[nodiscard]] std::optional<base::mono_time> next_expiry(service_queue const& queue);

/// \ingroup fleet
/// \brief Expected wait of a request until it is dispatched.
/// \param place number of slots that must become free for it; 1 for the next request.
/// \returns zero without measurements.
[[nodiscard]] base::duration expected_wait(service_queue const& queue, service_load const& load,
                                           std::size_t place, base::mono_time now);

/// \ingroup fleet
/// \brief Dispatch deadline of a new request of a caller. At the measured service time, a request
/// that is dispatched by then is usually answered when it is due. Without measurements, and while
/// no slot can become free by then, it is a fifth of the time until then, so that the caller can
/// still be served elsewhere.
[[nodiscard]] base::mono_time caller_dispatch_deadline(service_queue const& queue,
                                                       service_load const& load,
                                                       base::mono_time due, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
