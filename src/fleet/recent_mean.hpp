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
/// \brief Adds a measurement with a weight that grows with the time since the last one, so that the
/// mean covers a time and not a number of measurements.
/// \param period time that the mean covers.
void add_measurement_over(recent_mean& mean, base::duration measurement, base::duration period,
                          base::mono_time now);

/// \ingroup fleet
/// \brief Resets a mean whose last measurement is some seconds old.
void reset_if_stale(recent_mean& mean, base::mono_time now);

/// \ingroup fleet
/// \brief The mean, which approaches the mean of the peers as its last measurement ages and equals
/// it once the measurement is stale.
/// \param peers_us mean of the peers, in microseconds.
/// \returns microseconds.
[[nodiscard]] double current_us(recent_mean const& mean, double peers_us, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
