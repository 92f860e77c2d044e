#include "fleet/cost_estimate.hpp"

#include <algorithm>

namespace gooseberrywood::fleet
{

namespace
{

// A sample that outlives its hint is expected to go on for half of the events that it has. Lengths
// are spread so widely that the rest grows with what was generated.
constexpr double rest_share = 0.5;

// Samples of a group share a prompt of about this many tokens, which an upstream reads at 500
// tokens per ms.
constexpr double prompt_tokens = 1000;
constexpr double us_per_prompt_token = 2;

} // namespace

double expected_events_left(std::uint32_t expected_tokens, std::uint32_t tokens_per_event,
                            std::size_t events)
{
    auto const produced = static_cast<double>(events);
    auto const hinted =
        static_cast<double>(expected_tokens) / std::max<std::uint32_t>(1, tokens_per_event);
    return std::max({1.0, hinted - produced, rest_share * produced});
}

double sample_cost_us(double events_left, double event_us, bool holds_prompt)
{
    auto const prompt_us = holds_prompt ? 0 : prompt_tokens * us_per_prompt_token;
    return prompt_us + events_left * event_us;
}

} // namespace gooseberrywood::fleet
