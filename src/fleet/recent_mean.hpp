#ifndef GOOSEBERRYWOOD_FLEET_RECENT_MEAN_HPP
#define GOOSEBERRYWOOD_FLEET_RECENT_MEAN_HPP

#include "base/time.hpp"

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Mean of the last measurements of a time.
struct recent_mean
{
    /// In microseconds; 0 while nothing is known.
    double us = 0;
    base::mono_time measured_at{};
};

/// \ingroup fleet
/// \brief Adds a measurement.
void add_sample(recent_mean& to, base::duration sample, base::mono_time now);

/// \ingroup fleet
/// \brief Forgets a mean without a measurement for some seconds.
void forget_if_old(recent_mean& which, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
