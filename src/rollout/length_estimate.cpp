#include "rollout/length_estimate.hpp"

#include <algorithm>

namespace gooseberrywood::rollout
{

namespace
{

// Share of the sums that remains with each new sample; about the last 200 samples, two steps,
// determine the estimate.
constexpr double decay = 0.995;

// The hint counts as if this many samples had confirmed it, so that the first samples that are
// complete, which are the short ones, do not determine the estimate.
constexpr double prior_samples = 20;

// Expected length without a hint and without a complete sample, in events.
constexpr double default_events = 18;

// Expected events left of a sample that has exceeded its expected length, as a share of its length.
constexpr double overrun_share = 0.5;

double expected_events(length_estimate const& estimate, double hinted_events)
{
    auto const mean =
        (estimate.events + prior_samples * default_events) / (estimate.samples + prior_samples);
    if (hinted_events <= 0)
    {
        return mean;
    }
    auto const prior = prior_samples * mean;
    return hinted_events * (estimate.events_with_hint + prior) / (estimate.hinted_events + prior);
}

} // namespace

void note_length(length_estimate& estimate, double hinted_events, std::size_t events)
{
    auto const length = static_cast<double>(events);
    estimate.events = estimate.events * decay + length;
    estimate.samples = estimate.samples * decay + 1;
    if (hinted_events > 0)
    {
        estimate.events_with_hint = estimate.events_with_hint * decay + length;
        estimate.hinted_events = estimate.hinted_events * decay + hinted_events;
    }
}

double events_left(length_estimate const& estimate, double hinted_events, std::size_t generated)
{
    auto const length = static_cast<double>(generated);
    return std::max(
        {1.0, expected_events(estimate, hinted_events) - length, overrun_share * length});
}

} // namespace gooseberrywood::rollout
