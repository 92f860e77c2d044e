#include "fleet/reward_share.hpp"

#include <algorithm>
#include <limits>

namespace gooseberrywood::fleet
{

namespace
{

// Callers' requests are spread over many gateways: with 12 a second and 31 gateways, each of them
// sees one in 2.6 s on average, and two are seldom more than 10 s apart.
constexpr base::duration caller_window = std::chrono::seconds(10);

// As in `admission::limiter`: an increase of one per round and this factor react within a few
// rounds and don't halve the throughput for a small overload.
constexpr double decrease_factor = 0.7;

// Answers that take this many times as long as usual show an overload.
constexpr double overload_multiple = 2;

bool is_limited(reward_share const& rewards, base::mono_time now)
{
    return rewards.caller_seen_at && now < *rewards.caller_seen_at + caller_window;
}

double least_share(std::uint32_t slots)
{
    return std::min(max_reward_share, 1.0 / std::max(1U, slots));
}

void decrease(reward_share& rewards, std::uint32_t slots, base::mono_time now)
{
    rewards.share = std::max(least_share(slots), rewards.share * decrease_factor);
    rewards.decreased_at = now;
    admission::restart_average(rewards.answer_time);
}

std::uint32_t limit_while_callers(reward_share const& rewards, std::uint32_t slots)
{
    // The sum of many increments may end just below a whole number.
    constexpr double rounding = 1e-6;
    return std::max(1U, static_cast<std::uint32_t>(rewards.share * slots + rounding));
}

} // namespace

std::uint32_t reward_limit(reward_share const& rewards, std::uint32_t slots, base::mono_time now)
{
    return is_limited(rewards, now) ? limit_while_callers(rewards, slots)
                                    : std::numeric_limits<std::uint32_t>::max();
}

bool may_send_reward(reward_share const& rewards, std::uint32_t slots, base::mono_time now)
{
    return rewards.running < reward_limit(rewards, slots, now);
}

std::optional<base::mono_time> unlimited_at(reward_share const& rewards, base::mono_time now)
{
    return is_limited(rewards, now) ? std::optional(*rewards.caller_seen_at + caller_window)
                                    : std::nullopt;
}

bool note_reward_answered(reward_share& rewards, base::duration answer_time, std::uint32_t slots,
                          base::mono_time now)
{
    // A reward call without others does not slow the answers down, so its time is the usual one,
    // and a service that became slower for good is not taken as overloaded for ever.
    bool const is_alone = rewards.running == 0;
    admission::observe(rewards.answer_time, static_cast<double>(answer_time.count()), is_alone);
    if (admission::exceeds(rewards.answer_time, overload_multiple))
    {
        decrease(rewards, slots, now);
        return true;
    }
    auto const round = static_cast<double>(limit_while_callers(rewards, slots));
    rewards.share = std::min(max_reward_share, rewards.share + 1 / (round * std::max(1U, slots)));
    return false;
}

bool note_plain_refused(reward_share& rewards, base::mono_time sent_at, std::uint32_t slots,
                        base::mono_time now)
{
    if (sent_at < rewards.decreased_at)
    {
        return false;
    }
    decrease(rewards, slots, now);
    return true;
}

} // namespace gooseberrywood::fleet
