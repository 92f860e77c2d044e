#include "fleet/recent_mean.hpp"

namespace gooseberrywood::fleet
{

namespace
{

// Weight of a new measurement; about the last ten measurements determine the mean.
constexpr double smoothing = 0.2;

// Slow phases of upstreams last a few seconds.
constexpr base::duration max_age = std::chrono::seconds(3);

} // namespace

void add_measurement(recent_mean& mean, base::duration measurement, base::mono_time now)
{
    auto const value = static_cast<double>(measurement.count());
    mean.us = mean.us == 0 ? value : mean.us + smoothing * (value - mean.us);
    mean.measured_at = now;
}

void reset_if_stale(recent_mean& mean, base::mono_time now)
{
    if (now - mean.measured_at > max_age)
    {
        mean.us = 0;
    }
}

} // namespace gooseberrywood::fleet
