#include "fleet/peer_times.hpp"

#include <algorithm>
#include <vector>

namespace gooseberrywood::fleet
{

namespace
{

// Upstreams deliver an event in 40 ms and more, so that medians hardly change in this time.
constexpr base::duration validity = std::chrono::milliseconds(50);

} // namespace

peer_times summarize_times(std::map<std::string, upstream, std::less<>> const& upstreams,
                           std::string_view service, recent_mean upstream::*mean,
                           base::mono_time now)
{
    std::vector<double> known;
    for (auto const& [id, upstream] : upstreams)
    {
        // A stale mean is 0 with peers of 0.
        auto const us = upstream.record.service == service ? (upstream.*mean).us : 0;
        if (us > 0 && current_us(upstream.*mean, 0, now) > 0)
        {
            known.push_back(us);
        }
    }
    if (known.empty())
    {
        return {};
    }
    auto const middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    auto const median = *middle;
    auto const [fastest, slowest] = std::minmax_element(known.begin(), known.end());
    return {median, *fastest, *slowest, now + validity};
}

void refresh_times(peer_times& times, std::map<std::string, upstream, std::less<>> const& upstreams,
                   std::string_view service, recent_mean upstream::*mean, base::mono_time now)
{
    if (now >= times.valid_until)
    {
        times = summarize_times(upstreams, service, mean, now);
    }
}

} // namespace gooseberrywood::fleet
