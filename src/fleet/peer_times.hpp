#ifndef GOOSEBERRYWOOD_FLEET_PEER_TIMES_HPP
#define GOOSEBERRYWOOD_FLEET_PEER_TIMES_HPP

#include "base/time.hpp"
#include "fleet/recent_mean.hpp"
#include "fleet/upstream.hpp"

#include <map>
#include <string>
#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Known means of a service's upstreams, summarized.
struct peer_times
{
    /// In microseconds; 0 while no mean is known.
    double median_us = 0;
    double fastest_us = 0;
    double slowest_us = 0;
    /// The summary is made anew from then on.
    base::mono_time valid_until{};
};

/// \ingroup fleet
/// \brief Summaries of the upstreams of one service.
struct service_times
{
    /// Times between two events.
    peer_times event;
    /// Response times of plain requests.
    peer_times answer;
};

/// \ingroup fleet
/// \brief Summarizes the means of a service's upstreams that are not stale.
[[nodiscard]] peer_times
summarize_times(std::map<std::string, upstream, std::less<>> const& upstreams,
                std::string_view service, recent_mean upstream::*mean, base::mono_time now);

/// \ingroup fleet
/// \brief Makes a summary anew if it is no longer valid. It stays valid for a fraction of the time
/// in which means change, since a process places up to 200 samples in one round.
void refresh_times(peer_times& times, std::map<std::string, upstream, std::less<>> const& upstreams,
                   std::string_view service, recent_mean upstream::*mean, base::mono_time now);

} // namespace gooseberrywood::fleet

#endif
