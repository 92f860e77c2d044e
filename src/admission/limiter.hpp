#ifndef GOOSEBERRYWOOD_ADMISSION_LIMITER_HPP
#define GOOSEBERRYWOOD_ADMISSION_LIMITER_HPP

#include "admission/attempt_outcome.hpp"
#include "admission/latency_sample.hpp"
#include "admission/latency_signal.hpp"
#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Bounds of a concurrency limit.
struct limiter_settings
{
    /// Envelope: maximum number of concurrent requests when the upstream starts serving, and after
    /// `warm_up`.
    std::uint32_t fresh_limit = 1;
    std::uint32_t max_limit = 8;
    base::duration warm_up = std::chrono::seconds(60);
    /// The limit is decreased when the average latency exceeds this multiple of the baseline.
    /// Continuous batching alone makes a token in a full batch up to about twice as slow as in a
    /// single stream.
    double overload_multiple = 2.5;
    /// A warm upstream counts as cold when its latencies exceed this multiple of the baseline by
    /// more than their usual spread.
    double cold_multiple = 5;
    /// Number of consecutive slow completions after which it counts as cold; one or two may be
    /// outliers.
    std::uint32_t cold_completions = 5;
};

/// \ingroup admission
/// \brief Concurrency limit of one upstream.
struct limiter
{
    limiter_settings settings;
    base::mono_time serving_since{};
    /// Adaptive limit; the limit in effect is also bounded by the envelope.
    double wanted = 1;
    std::uint32_t running = 0;
    /// The limit doubles with each round of requests until the first decrease.
    bool slow_start = true;
    base::mono_time decreased_at = base::mono_time::min();
    /// Last time at which more than `fresh_limit` requests were running.
    base::mono_time loaded_at = base::mono_time::min();
    std::uint32_t consecutive_slow = 0;

    latency_signal first_token;
    latency_signal token;
    latency_signal answer;
};

/// \ingroup admission
/// \brief Effect of a completion on the limit.
enum class limit_change : std::uint8_t
{
    none,
    increased,
    decreased,
    /// The upstream became cold: the envelope and the limit have restarted.
    restarted,
};

/// \brief Creates the limiter of an upstream that starts serving now.
[[nodiscard]] limiter make_limiter(limiter_settings const& settings, base::mono_time now);

/// \brief Applies new settings without restarting the envelope.
void apply_settings(limiter& concurrency, limiter_settings const& settings);

/// \brief Maximum number of concurrent requests according to the age of the upstream, whatever its
/// latency.
[[nodiscard]] std::uint32_t envelope(limiter const& concurrency, base::mono_time now);

/// \brief The limit in effect: at least one and never above the envelope.
[[nodiscard]] std::uint32_t limit(limiter const& concurrency, base::mono_time now);

/// \brief Whether one more request may start.
[[nodiscard]] bool can_start(limiter const& concurrency, base::mono_time now);

/// \brief Counts a request that starts. Ends the process if it exceeds the envelope.
void start(limiter& concurrency, base::mono_time now);

/// \brief Counts a request that has ended, and adapts the limit.
limit_change finish(limiter& concurrency, latency_sample const& sample, attempt_outcome outcome,
                    base::mono_time now);

/// \brief Restarts the envelope and the limit, after a crash or when the upstream became cold.
void restart(limiter& concurrency, base::mono_time now);

} // namespace gooseberrywood::admission

#endif
