#include "fleet/choose_move.hpp"

#include <algorithm>

namespace gooseberrywood::fleet
{

namespace
{

// A moved sample waits for a connection and a place in the queue, 50 to 100 ms, and its prompt and
// text are read again, which takes 2 ms.
constexpr double move_cost_us = 100'000;

// A move must save this much beyond its cost, since the expected length is often far off.
constexpr double min_saved_us = 200'000;

// A sample that is expected to be complete this long before it is due stays. The margin covers its
// reward call and the error of its expected length. In bench_placement_policy it saves three of
// four moves.
constexpr base::duration due_margin = std::chrono::seconds(2);

// An upstream is slow when its time per event exceeds the median by this factor.
constexpr double slow_factor = 1.6;

/// Time per event of the present upstream. It counts as slow only once it was slow for a while.
double present_event_us(upstream const& upstream)
{
    return std::min(upstream.event_time.us, upstream.steady_event_time.us);
}

/// Time per event of a target. It counts as fast only once it was fast for a while.
double target_event_us(upstream const& upstream, double median_us, base::mono_time now)
{
    return std::max(current_us(upstream.event_time, median_us, now),
                    current_us(upstream.steady_event_time, median_us, now));
}

/// Whether a sample is expected to be complete in time where it is.
bool is_in_time(sample_requirements const& requirements, double present_us, base::mono_time now)
{
    base::duration const needed(static_cast<std::int64_t>(requirements.events_left * present_us));
    return now + needed + due_margin < requirements.due;
}

double saved_us(double events_left, double present_us, double target_us)
{
    auto const saved = events_left * (present_us - target_us) - move_cost_us;
    return saved >= min_saved_us ? saved : 0;
}

} // namespace

double max_saved_us(pool& pool, std::string_view id, sample_requirements const& requirements,
                    base::mono_time now)
{
    auto const* const present = find_upstream(pool, id);
    auto const fastest_us = event_times(pool, requirements.service, now).fastest_us;
    if (present == nullptr || fastest_us == 0)
    {
        return 0;
    }
    auto const present_us = present_event_us(*present);
    return is_in_time(requirements, present_us, now)
               ? 0
               : saved_us(requirements.events_left, present_us, fastest_us);
}

std::optional<sample_move> choose_move(pool& pool, configuration const& configuration,
                                       std::string_view id, sample_requirements const& requirements,
                                       base::mono_time now)
{
    if (max_saved_us(pool, id, requirements, now) == 0)
    {
        return std::nullopt;
    }
    auto chosen = choose_sample(pool, configuration, requirements, now);
    // A running sample moves only to an upstream whose weights are known to be new enough, and
    // never to its present one, which is chosen when no other has a free slot.
    if (!chosen || chosen->expected_version != 0 || chosen->id == id)
    {
        return std::nullopt;
    }
    auto const median_us = event_times(pool, requirements.service, now).median_us;
    auto const present_us = present_event_us(*find_upstream(pool, id));
    auto const target_us = target_event_us(*find_upstream(pool, chosen->id), median_us, now);
    auto const saved = saved_us(requirements.events_left, present_us, target_us);
    if (saved == 0)
    {
        return std::nullopt;
    }
    return sample_move{std::move(*chosen), base::duration(static_cast<std::int64_t>(saved)),
                       present_us > slow_factor * median_us};
}

} // namespace gooseberrywood::fleet
