#include "admission/latency_signal.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrywood::admission
{

namespace
{

/// Weight of a new sample in the average, which covers about the last 30 samples. A shorter average
/// over cached and uncached answers fluctuates by more than the overload multiple.
constexpr double average_weight = 0.06;

/// Minimum number of samples before the average is compared, for the same reason: with eight
/// samples, such a mix causes a decrease every 34 completions.
constexpr std::uint32_t min_samples = 12;

/// Weight of the average in the baseline. With few concurrent requests the baseline follows the
/// average in both directions, since a slow answer can't be due to an overload by this service.
constexpr double baseline_weight = 0.05;

/// Under load the baseline follows a higher average slowly, and only within the usual variation of
/// samples, which is this fraction of the spread. Otherwise it would settle at the lowest average
/// that ever occurs by chance. An overload shifts all samples and lies far outside this range: if
/// the baseline followed it, the overload would count as normal after some hours.
constexpr double loaded_rise_weight = 0.005;
constexpr double variation_fraction = 0.5;

/// Weight of a new sample in the spread. The few slow samples that reveal a cold upstream must not
/// widen the spread so far that they count as usual.
constexpr double spread_weight = 0.02;

double log_of(double us)
{
    return std::log(std::max(us, 1e-3));
}

} // namespace

void observe(latency_signal& signal, double us, bool is_unloaded)
{
    auto const value = log_of(us);
    ++signal.samples;
    // The first samples count equally, so that the first one does not dominate.
    auto const weight = std::max(average_weight, 1.0 / signal.samples);
    signal.average += weight * (value - signal.average);

    if (!signal.has_baseline)
    {
        signal.has_baseline = true;
        signal.baseline = value;
        return;
    }
    signal.spread += spread_weight * (std::abs(value - signal.baseline) - signal.spread);
    auto const above = signal.average - signal.baseline;
    if (is_unloaded || above < 0)
    {
        signal.baseline += baseline_weight * above;
    }
    else if (above < variation_fraction * signal.spread)
    {
        signal.baseline += loaded_rise_weight * above;
    }
}

void restart_average(latency_signal& signal)
{
    signal.average = 0;
    signal.samples = 0;
}

bool has_enough_samples(latency_signal const& signal)
{
    return signal.samples >= min_samples;
}

bool exceeds(latency_signal const& signal, double multiple)
{
    return has_enough_samples(signal) && signal.average - signal.baseline > std::log(multiple);
}

bool is_outlier(latency_signal const& signal, double us, double multiple)
{
    return signal.has_baseline && log_of(us) - signal.baseline > std::log(multiple) + signal.spread;
}

double average_us(latency_signal const& signal)
{
    return signal.samples == 0 ? 0 : std::exp(signal.average);
}

double baseline_us(latency_signal const& signal)
{
    return signal.has_baseline ? std::exp(signal.baseline) : 0;
}

} // namespace gooseberrywood::admission
