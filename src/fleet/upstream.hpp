#ifndef GOOSEBERRYWOOD_FLEET_UPSTREAM_HPP
#define GOOSEBERRYWOOD_FLEET_UPSTREAM_HPP

#include "base/time.hpp"
#include "fleet/announced_weights.hpp"
#include "fleet/outstanding_work.hpp"
#include "fleet/rate_limit.hpp"
#include "fleet/recent_mean.hpp"
#include "fleet/upstream_record.hpp"

#include <cstdint>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Maximum number of plain requests per slot. Those beyond the number of slots are queued at
/// the upstream, so that its slots stay busy.
inline constexpr std::uint32_t max_requests_per_slot = 2;

/// \ingroup fleet
/// \brief State of an upstream as this process knows it.
struct upstream
{
    upstream_record record;
    /// Number of requests from this process in progress.
    std::uint32_t running = 0;
    /// Expected work of these requests that is not done yet.
    outstanding_work outstanding;
    /// Since this time at least, the requests in progress have waited for an answer.
    base::mono_time unanswered_since{};
    /// Time between two events of a stream.
    recent_mean event_time;
    /// The same over a longer time, which a short slow phase changes little.
    recent_mean steady_event_time;
    /// Response time of a plain request of mean cost.
    recent_mean answer_time;
    /// Number of consecutive failures.
    std::uint32_t failures = 0;
    /// The upstream gets no requests before this time, after failures or while it is full.
    base::mono_time suspended_until{};
    /// The upstream gets no samples before this time, because it is loading weights.
    base::mono_time loading_until{};
    announced_weights announced;
    /// Set when the upstream refused a sample; it gets one sample at a time until one runs.
    bool on_probation = false;
    /// No sample is sent before this time to find out whether the upstream has weights that the
    /// list does not show.
    base::mono_time probe_weights_at{};
    /// Number of samples that were sent and not answered yet.
    std::uint32_t unanswered_samples = 0;
    /// Fill of the token bucket of a cold upstream: number of requests that may be sent now.
    double cold_budget = 1;
    base::mono_time cold_refilled_at{};
    rate_limit limit;
    /// Set when the upstream is missing from the list, possibly because its entry expired while the
    /// store was unavailable. It gets no requests.
    bool missing = false;
    /// Set when this incarnation has stated in an answer that it leaves. It gets no requests.
    bool leaving = false;
};

} // namespace gooseberrywood::fleet

#endif
