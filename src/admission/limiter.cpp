#include "admission/limiter.hpp"

#include "base/invariant.hpp"

#include <algorithm>

namespace gooseberrywood::admission
{

namespace
{

/// Factor of a multiplicative decrease (AIMD). With an increase of one per round it is the usual
/// compromise between reacting within a few rounds and not halving the throughput for a small
/// overload.
constexpr double decrease_factor = 0.7;

/// Prompt tokens that an engine processes in about the time of its fixed cost per request. The time
/// to the first token is divided by one plus the prompt length in this unit.
constexpr double prompt_unit_tokens = 1024;

/// Prompt tokens processed in the time of one generated token; prompts run in parallel.
constexpr double prompt_tokens_per_token = 16;

/// Fixed cost of an answer that is not streamed, in generated tokens.
constexpr double answer_overhead_tokens = 16;

double micros(base::duration time)
{
    return static_cast<double>(std::max<std::int64_t>(time.count(), 1));
}

/// Adds a value and tells whether it is as slow as that of a cold upstream.
bool observe_and_check_cold(latency_signal& signal, double us, double cold_multiple,
                            bool is_unloaded)
{
    bool const slow = is_outlier(signal, us, cold_multiple);
    observe(signal, us, is_unloaded);
    return slow;
}

/// Adds a completion to the signals of its kind.
/// \returns whether it is as slow as that of a cold upstream.
bool observe_completion(limiter& concurrency, latency_sample const& sample)
{
    auto const multiple = concurrency.settings.cold_multiple;
    bool const is_unloaded = sample.started_at > concurrency.loaded_at;
    auto const prompt = static_cast<double>(sample.prompt_tokens);
    if (sample.first_token > base::duration::zero())
    {
        bool slow = observe_and_check_cold(
            concurrency.first_token, micros(sample.first_token) / (1 + prompt / prompt_unit_tokens),
            multiple, is_unloaded);
        if (sample.generated_tokens > 1)
        {
            auto const later_tokens = static_cast<double>(sample.generated_tokens - 1);
            slow |= observe_and_check_cold(concurrency.token,
                                           micros(sample.total - sample.first_token) / later_tokens,
                                           multiple, is_unloaded);
        }
        return slow;
    }
    // Plain services report no tokens, so their unit is the whole answer.
    auto const tokens = static_cast<double>(sample.generated_tokens);
    auto const units = sample.generated_tokens == 0
                           ? 1.0
                           : answer_overhead_tokens + tokens + prompt / prompt_tokens_per_token;
    return observe_and_check_cold(concurrency.answer, micros(sample.total) / units, multiple,
                                  is_unloaded);
}

void restart_averages(limiter& concurrency)
{
    restart_average(concurrency.first_token);
    restart_average(concurrency.token);
    restart_average(concurrency.answer);
}

bool is_overloaded(limiter const& concurrency)
{
    auto const multiple = concurrency.settings.overload_multiple;
    return exceeds(concurrency.first_token, multiple) || exceeds(concurrency.token, multiple) ||
           exceeds(concurrency.answer, multiple);
}

/// After a decrease, the limit must not be increased again before the effect is known.
bool may_increase(limiter const& concurrency)
{
    return concurrency.slow_start || has_enough_samples(concurrency.first_token) ||
           has_enough_samples(concurrency.token) || has_enough_samples(concurrency.answer);
}

bool is_warm(limiter const& concurrency, base::mono_time now)
{
    return now - concurrency.serving_since >= concurrency.settings.warm_up;
}

void decrease(limiter& concurrency, base::mono_time now)
{
    // The wanted limit may lie above the envelope, where lowering it would change nothing.
    auto const effective =
        std::min(concurrency.wanted, static_cast<double>(envelope(concurrency, now)));
    concurrency.wanted = std::max(1.0, effective * decrease_factor);
    concurrency.slow_start = false;
    concurrency.decreased_at = now;
    restart_averages(concurrency);
}

} // namespace

limiter make_limiter(limiter_settings const& settings, base::mono_time now)
{
    limiter created;
    apply_settings(created, settings);
    restart(created, now);
    return created;
}

void apply_settings(limiter& concurrency, limiter_settings const& settings)
{
    concurrency.settings = settings;
    // Zero would stop the upstream for good: nothing completes, so nothing raises the limit.
    concurrency.settings.fresh_limit = std::max(settings.fresh_limit, 1U);
    concurrency.settings.max_limit = std::max(settings.max_limit, concurrency.settings.fresh_limit);
    concurrency.wanted =
        std::min(concurrency.wanted, static_cast<double>(concurrency.settings.max_limit));
}

std::uint32_t envelope(limiter const& concurrency, base::mono_time now)
{
    auto const& settings = concurrency.settings;
    auto const age = std::max(now - concurrency.serving_since, base::duration::zero());
    if (age >= settings.warm_up)
    {
        return settings.max_limit;
    }
    auto const part =
        static_cast<double>(age.count()) / static_cast<double>(settings.warm_up.count());
    auto const room = static_cast<double>(settings.max_limit - settings.fresh_limit);
    return settings.fresh_limit + static_cast<std::uint32_t>(room * part);
}

std::uint32_t limit(limiter const& concurrency, base::mono_time now)
{
    auto const wanted = static_cast<std::uint32_t>(concurrency.wanted);
    return std::max(1U, std::min(wanted, envelope(concurrency, now)));
}

bool can_start(limiter const& concurrency, base::mono_time now)
{
    return concurrency.running < limit(concurrency, now);
}

void start(limiter& concurrency, base::mono_time now)
{
    ++concurrency.running;
    base::check_invariant(concurrency.running <= envelope(concurrency, now),
                          "running requests stay within the envelope of a fresh upstream");
}

limit_change finish(limiter& concurrency, latency_sample const& sample, attempt_outcome outcome,
                    base::mono_time now)
{
    base::check_invariant(concurrency.running > 0, "a request that ends was running");
    // A completion of an upstream that was not busy is no evidence for a higher limit.
    bool const was_busy = 2 * concurrency.running >= limit(concurrency, now);
    if (concurrency.running > concurrency.settings.fresh_limit)
    {
        concurrency.loaded_at = now;
    }
    --concurrency.running;

    // Attempts that started before the last decrease reflect the load that caused it.
    bool const is_current = sample.started_at >= concurrency.decreased_at;
    if (outcome == attempt_outcome::overloaded && is_current)
    {
        decrease(concurrency, now);
        return limit_change::decreased;
    }
    if (outcome != attempt_outcome::completed)
    {
        return limit_change::none;
    }
    // Slow completions from before a restart must not restart it again.
    if (sample.started_at < concurrency.serving_since)
    {
        return limit_change::none;
    }
    bool const slow = observe_completion(concurrency, sample);
    concurrency.consecutive_slow = slow ? concurrency.consecutive_slow + 1 : 0;
    if (concurrency.consecutive_slow >= concurrency.settings.cold_completions &&
        is_warm(concurrency, now))
    {
        restart(concurrency, now);
        return limit_change::restarted;
    }
    if (!is_current)
    {
        return limit_change::none;
    }
    if (is_overloaded(concurrency))
    {
        decrease(concurrency, now);
        return limit_change::decreased;
    }
    if (!was_busy || !may_increase(concurrency))
    {
        return limit_change::none;
    }
    concurrency.wanted += concurrency.slow_start ? 1.0 : 1.0 / concurrency.wanted;
    concurrency.wanted =
        std::min(concurrency.wanted, static_cast<double>(concurrency.settings.max_limit));
    return limit_change::increased;
}

void restart(limiter& concurrency, base::mono_time now)
{
    concurrency.serving_since = now;
    concurrency.wanted = concurrency.settings.fresh_limit;
    concurrency.slow_start = true;
    concurrency.decreased_at = now;
    concurrency.consecutive_slow = 0;
    restart_averages(concurrency);
}

} // namespace gooseberrywood::admission
