#ifndef GOOSEBERRYWOOD_FLEET_REWARD_SHARE_HPP
#define GOOSEBERRYWOOD_FLEET_REWARD_SHARE_HPP

#include "admission/latency_signal.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Part of a service's slots that reward calls of this process may hold at first and at
/// most, so that a third remains for callers.
inline constexpr double max_reward_share = 2.0 / 3.0;

/// \ingroup fleet
/// \brief Adaptive share of a service's slots for the reward calls of this process (additive
/// increase, multiplicative decrease). Other processes send to the same upstreams, and this one
/// notices their load only by refusals and longer answer times.
///
/// Load pattern: the reward calls of a whole step arrive at once and fill the slots that lookups
/// need within 150 ms.
struct reward_share
{
    double share = max_reward_share;
    /// Reward calls in progress.
    std::uint32_t running = 0;
    /// When a request of a caller arrived last.
    std::optional<base::mono_time> caller_seen_at;
    base::mono_time decreased_at{};
    /// Answer times of reward calls.
    admission::latency_signal answer_time;
};

/// \ingroup fleet
/// \brief Maximum number of reward calls in progress: the share of the slots, at least one. No
/// limit when no request of a caller was seen for some seconds.
[[nodiscard]] std::uint32_t reward_limit(reward_share const& rewards, std::uint32_t slots,
                                         base::mono_time now);

/// \ingroup fleet
/// \brief Whether one more reward call may be sent.
[[nodiscard]] bool may_send_reward(reward_share const& rewards, std::uint32_t slots,
                                   base::mono_time now);

/// \ingroup fleet
/// \brief When the limit ends if no request of a caller arrives until then.
/// \returns nothing while there is no limit.
[[nodiscard]] std::optional<base::mono_time> unlimited_at(reward_share const& rewards,
                                                          base::mono_time now);

/// \ingroup fleet
/// \brief Records the answer to a reward call, which `running` no longer includes. The share grows
/// by one slot for each round of answers; it shrinks when the recent answers took much longer than
/// usual. \returns whether the share has shrunk.
bool note_reward_answered(reward_share& rewards, base::duration answer_time, std::uint32_t slots,
                          base::mono_time now);

/// \ingroup fleet
/// \brief Records that an upstream refused a request because it is full. Refusals of requests that
/// were sent before the last decrease don't count: they don't show its effect.
/// \returns whether the share has shrunk.
bool note_plain_refused(reward_share& rewards, base::mono_time sent_at, std::uint32_t slots,
                        base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
