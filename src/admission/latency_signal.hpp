#ifndef GOOSEBERRYWOOD_ADMISSION_LATENCY_SIGNAL_HPP
#define GOOSEBERRYWOOD_ADMISSION_LATENCY_SIGNAL_HPP

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief One kind of normalised latency: its moving average, its baseline and its spread.
///
/// All values are natural logarithms of microseconds per unit. Answers from a prefix cache are many
/// times faster than others; on a linear scale such a mix would look like a permanent overload.
struct latency_signal
{
    /// Average of the samples since the last decrease of the limit.
    double average = 0;
    std::uint32_t samples = 0;
    /// Usual average while the upstream is neither overloaded nor cold.
    double baseline = 0;
    /// Mean distance of a sample from the baseline.
    double spread = 0;
    bool has_baseline = false;
};

/// \brief Adds a sample.
/// \param us microseconds per unit (a token, a thousand prompt tokens, or a whole answer).
/// \param is_unloaded whether only few requests ran concurrently meanwhile.
void observe(latency_signal& signal, double us, bool is_unloaded);

/// \brief Starts a new average and keeps the baseline.
void restart_average(latency_signal& signal);

/// \brief Whether the average has enough samples to be compared.
[[nodiscard]] bool has_enough_samples(latency_signal const& signal);

/// \brief Whether the average has enough samples and exceeds a multiple of the baseline.
[[nodiscard]] bool exceeds(latency_signal const& signal, double multiple);

/// \brief Whether a sample exceeds a multiple of the baseline by more than the usual spread.
[[nodiscard]] bool is_outlier(latency_signal const& signal, double us, double multiple);

/// \brief The average in microseconds per unit, or zero without samples.
[[nodiscard]] double average_us(latency_signal const& signal);

/// \brief The baseline in microseconds per unit, or zero without samples.
[[nodiscard]] double baseline_us(latency_signal const& signal);

} // namespace gooseberrywood::admission

#endif
