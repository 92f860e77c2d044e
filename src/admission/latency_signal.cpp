#include "admission/latency_signal.hpp"

#include <algorithm>
#include <cmath>

namespace gooseberrywood::admission
{

namespace
{

/// Weight of a new sample in the average: about the last thirty samples count. A shorter average of
/// cached and uncached answers fluctuates by more than the overload multiple.
constexpr double average_weight = 0.06;

/// Samples before the average is compared, for the same reason.
constexpr std::uint32_t samples_to_judge = 8;

/// The baseline follows a lower average ten times as fast as a higher one, so that it settles at
/// the lower end of the usual averages.
constexpr double fall_weight = 0.05;
constexpr double rise_weight = 0.005;

/// While the average is above the overload multiple, the baseline rises by this part a second
/// only: it doubles in about 6 min. An upstream that is slower for good (a larger model) is
/// accepted as such after some minutes, and an overload is not taken for the normal state.
constexpr double overload_rise_per_second = 0.002;

/// Longest gap between samples that counts for this rise, so that an idle night changes nothing.
constexpr base::duration longest_gap = std::chrono::seconds(10);

/// Weight of a new sample in the spread. The few slow samples that reveal a cold upstream must not
/// widen the spread so far that they pass as usual.
constexpr double spread_weight = 0.02;

double log_of(double us)
{
    return std::log(std::max(us, 1e-3));
}

} // namespace

void observe(latency_signal& signal, double us, double overload_multiple, base::mono_time now)
{
    auto const value = log_of(us);
    ++signal.samples;
    // The first samples count equally, so that the first one does not dominate.
    auto const weight = std::max(average_weight, 1.0 / signal.samples);
    signal.average += weight * (value - signal.average);

    auto const gap = std::clamp(now - signal.observed_at, base::duration::zero(), longest_gap);
    signal.observed_at = now;
    if (!signal.has_baseline)
    {
        signal.has_baseline = true;
        signal.baseline = value;
        return;
    }
    signal.spread += spread_weight * (std::abs(value - signal.baseline) - signal.spread);
    auto const above = signal.average - signal.baseline;
    if (above > std::log(overload_multiple))
    {
        auto const seconds = std::chrono::duration<double>(gap).count();
        signal.baseline += overload_rise_per_second * seconds;
        return;
    }
    signal.baseline += (above < 0 ? fall_weight : rise_weight) * above;
}

void restart_average(latency_signal& signal)
{
    signal.average = 0;
    signal.samples = 0;
}

bool exceeds(latency_signal const& signal, double multiple)
{
    return signal.samples >= samples_to_judge &&
           signal.average - signal.baseline > std::log(multiple);
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
