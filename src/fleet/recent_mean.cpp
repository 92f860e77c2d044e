#include "fleet/recent_mean.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrywood::fleet
{

namespace
{

// Weight of a new measurement; about the last ten measurements determine the mean.
constexpr double smoothing = 0.2;

// Slow phases of upstreams last a few seconds.
constexpr base::duration max_age = std::chrono::seconds(3);

// A mean that was measured within this time is used as it is. Short slow phases last 0.6 s.
constexpr base::duration fresh_age = std::chrono::seconds(1);

} // namespace

void add_measurement(recent_mean& mean, base::duration measurement, base::mono_time now)
{
    auto const value = static_cast<double>(measurement.count());
    mean.us = mean.us == 0 ? value : mean.us + smoothing * (value - mean.us);
    mean.measured_at = now;
}

void add_measurement_over(recent_mean& mean, base::duration measurement, base::duration period,
                          base::mono_time now)
{
    auto const value = static_cast<double>(measurement.count());
    auto const elapsed = std::chrono::duration<double>(now - mean.measured_at);
    auto const weight = 1 - std::exp(-(elapsed / std::chrono::duration<double>(period)));
    mean.us = mean.us == 0 ? value : mean.us + weight * (value - mean.us);
    mean.measured_at = now;
}

void reset_if_stale(recent_mean& mean, base::mono_time now)
{
    if (now - mean.measured_at > max_age)
    {
        mean.us = 0;
    }
}

double current_us(recent_mean const& mean, double peers_us, base::mono_time now)
{
    auto const age = now - mean.measured_at;
    if (mean.us == 0 || age >= max_age)
    {
        return peers_us;
    }
    auto const ageing = std::max(age - fresh_age, base::duration{});
    auto const stale_share =
        static_cast<double>(ageing.count()) / static_cast<double>((max_age - fresh_age).count());
    return mean.us + stale_share * (peers_us - mean.us);
}

} // namespace gooseberrywood::fleet
