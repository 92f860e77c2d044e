#include "fleet/model_capacity.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberrywood::fleet
{

namespace
{

// Time between two events while none is measured. Engines take 43 to 78 ms.
constexpr base::duration default_event_time = std::chrono::milliseconds(55);

bool takes_samples(pool const& pool, upstream const& upstream, std::string_view service,
                   base::mono_time now)
{
    return upstream.record.service == service && !upstream.record.draining && !upstream.leaving &&
           !upstream.missing && !pool.domains_out.contains(upstream.record.domain) &&
           now >= upstream.suspended_until && now >= upstream.loading_until;
}

bool is_assigned(pool const& pool, std::string_view id, std::string_view model)
{
    auto const it = pool.shares.find(id);
    return it == pool.shares.end() || it->second == model;
}

base::duration to_duration(double us)
{
    return base::duration(static_cast<std::int64_t>(us));
}

} // namespace

model_capacity capacity_for(pool const& pool, std::string_view service, std::string_view model,
                            base::mono_time now)
{
    std::vector<upstream const*> usable;
    std::vector<double> measured_us;
    for (auto const& [id, upstream] : pool.upstreams)
    {
        if (!takes_samples(pool, upstream, service, now) || !is_assigned(pool, id, model))
        {
            continue;
        }
        usable.push_back(&upstream);
        if (upstream.event_time.us > 0)
        {
            measured_us.push_back(upstream.event_time.us);
        }
    }
    model_capacity capacity{0, default_event_time, default_event_time};
    if (!measured_us.empty())
    {
        auto const middle =
            measured_us.begin() + static_cast<std::ptrdiff_t>(measured_us.size() / 2);
        std::nth_element(measured_us.begin(), middle, measured_us.end());
        capacity.event_time = to_duration(*middle);
        capacity.fastest_event_time =
            to_duration(*std::min_element(measured_us.begin(), middle + 1));
    }
    for (auto const* upstream : usable)
    {
        auto const median_us = static_cast<double>(capacity.event_time.count());
        auto const own_us = upstream->event_time.us > 0 ? upstream->event_time.us : median_us;
        capacity.slots += upstream->record.slots * median_us / own_us;
    }
    return capacity;
}

} // namespace gooseberrywood::fleet
