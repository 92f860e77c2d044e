#include "fleet/service_load.hpp"

#include "fleet/choose_upstream.hpp"

#include <algorithm>

namespace gooseberrywood::fleet
{

namespace
{

constexpr double micros_per_second = 1e6;

/// When the budget of a cold upstream allows a request.
base::mono_time cold_until(upstream const& upstream, service const* configured,
                           std::uint32_t sharing_processes, base::mono_time now)
{
    bool const is_limited = configured != nullptr && configured->cold_requests_per_s > 0 &&
                            now < upstream.record.cold_until;
    if (!is_limited || upstream.cold_budget >= 1)
    {
        return now;
    }
    auto const missing_us = (1 - upstream.cold_budget) * sharing_processes * micros_per_second /
                            configured->cold_requests_per_s;
    auto const refilled =
        upstream.cold_refilled_at + base::duration(static_cast<std::int64_t>(missing_us) + 1);
    return std::min(refilled, upstream.record.cold_until);
}

base::mono_time opens_at(upstream const& upstream, service const* configured,
                         std::uint32_t sharing_processes, base::mono_time now)
{
    auto const usable_at = std::max(
        {now, upstream.suspended_until, cold_until(upstream, configured, sharing_processes, now)});
    return permits_request(upstream.limit, usable_at) ? usable_at
                                                      : std::max(usable_at, upstream.limit.ask_at);
}

} // namespace

service_load load_of(pool const& pool, service const* configured, std::string_view service,
                     base::mono_time now)
{
    service_load load;
    for (auto const& [id, upstream] : pool.upstreams)
    {
        if (upstream.record.service != service ||
            !is_serving(pool, incarnation_of(upstream.record), service))
        {
            continue;
        }
        load.slots += upstream.record.slots;
        load.running += upstream.running;
        if (upstream.running >= upstream.record.slots * max_requests_per_slot)
        {
            continue;
        }
        auto const opens = opens_at(upstream, configured, pool.sharing_processes, now);
        load.opens_at = std::min(load.opens_at, opens);
        if (opens > now)
        {
            load.wake_at = std::min(load.wake_at, opens);
        }
    }
    return load;
}

} // namespace gooseberrywood::fleet
