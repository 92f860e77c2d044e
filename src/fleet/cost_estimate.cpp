#include "fleet/cost_estimate.hpp"

#include <algorithm>
#include <bit>

namespace gooseberrywood::fleet
{

namespace
{

// Samples of a group share a prompt of about this many tokens, which an upstream reads at 500
// tokens per ms.
constexpr double prompt_tokens = 1000;
constexpr double us_per_prompt_token = 2;

// Weights of a new measurement. Classes are measured less often than the service.
constexpr double service_smoothing = 0.05;
constexpr double class_smoothing = 0.2;

// Bounds of the expected work, so that no estimate hides, or blocks, an upstream for long.
constexpr double min_work = 0.25;
constexpr double max_work = 8;

constexpr std::size_t least_size_bits = 10;
constexpr std::size_t bits_per_size_class = 2;

std::size_t size_class_of(std::size_t bytes)
{
    auto const bits = static_cast<std::size_t>(std::bit_width(bytes));
    auto const above = bits > least_size_bits ? bits - least_size_bits : 0;
    return std::min((above + bits_per_size_class - 1) / bits_per_size_class, size_class_count - 1);
}

} // namespace

void note_cost(cost_estimates& costs, std::string_view service, std::string_view route,
               std::size_t body_bytes, base::duration response_time)
{
    auto const us = static_cast<double>(response_time.count());
    auto const it = costs.find(service);
    auto& own = it != costs.end() ? it->second : costs[std::string(service)];
    own.mean_us = own.mean_us == 0 ? us : own.mean_us + service_smoothing * (us - own.mean_us);
    auto const found = own.class_us_by_route.find(route);
    auto& classes = found != own.class_us_by_route.end()
                        ? found->second
                        : own.class_us_by_route[std::string(route)];
    auto& class_us = classes.at(size_class_of(body_bytes));
    auto const before_us = class_us == 0 ? own.mean_us : class_us;
    class_us = before_us + class_smoothing * (us - before_us);
}

double expected_work(cost_estimates const& costs, std::string_view service, std::string_view route,
                     std::size_t body_bytes)
{
    auto const own = costs.find(service);
    if (own == costs.end())
    {
        return 1;
    }
    auto const classes = own->second.class_us_by_route.find(route);
    auto const class_us = classes != own->second.class_us_by_route.end()
                              ? classes->second.at(size_class_of(body_bytes))
                              : 0;
    return class_us > 0 && own->second.mean_us > 0
               ? std::clamp(class_us / own->second.mean_us, min_work, max_work)
               : 1;
}

double sample_cost_us(double events_left, double event_us, bool holds_prompt)
{
    auto const prompt_us = holds_prompt ? 0 : prompt_tokens * us_per_prompt_token;
    return prompt_us + events_left * event_us;
}

} // namespace gooseberrywood::fleet
