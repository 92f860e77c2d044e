#include "fleet/recent_mean.hpp"

namespace gooseberrywood::fleet
{

namespace
{

// Weight of a new measurement: about the last ten count.
constexpr double smoothing = 0.2;

// Slow phases of upstreams last some seconds.
constexpr base::duration lifetime = std::chrono::seconds(3);

} // namespace

void add_sample(recent_mean& to, base::duration sample, base::mono_time now)
{
    auto const value = static_cast<double>(sample.count());
    to.us = to.us == 0 ? value : to.us + smoothing * (value - to.us);
    to.measured_at = now;
}

void forget_if_old(recent_mean& which, base::mono_time now)
{
    if (now - which.measured_at > lifetime)
    {
        which.us = 0;
    }
}

} // namespace gooseberrywood::fleet
