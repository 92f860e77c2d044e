#ifndef GOOSEBERRYWOOD_FLEET_RECENT_MEAN_HPP
#define GOOSEBERRYWOOD_FLEET_RECENT_MEAN_HPP

#include "base/time.hpp"

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Exponential moving average of a duration.
struct recent_mean
{
    /// In microseconds; 0 while there is no measurement.
    double us = 0;
    base::mono_time measured_at{};
};

/// \ingroup fleet
/// \brief Adds a measurement.
void add_measurement(recent_mean& mean, base::duration measurement, base::mono_time now);

/// \ingroup fleet
/// \brief Resets a mean whose last measurement is some seconds old.
void reset_if_stale(recent_mean& mean, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
