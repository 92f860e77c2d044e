#ifndef GOOSEBERRYWOOD_ROUTING_UPSTREAM_STATE_HPP
#define GOOSEBERRYWOOD_ROUTING_UPSTREAM_STATE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <limits>
#include <string>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief State of one upstream as known to the entry.
struct upstream_state
{
    static constexpr std::uint32_t not_listed = std::numeric_limits<std::uint32_t>::max();

    std::string name;
    /// Position on the hash ring of the route, derived from host and name.
    std::uint64_t point = 0;
    std::uint32_t agent = 0;
    std::uint32_t route = 0;
    std::uint32_t epoch = 0;

    // The last load report.
    std::uint32_t credit = 0;
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::int64_t latency_us = 0;
    base::mono_time reported_at{};
    std::uint32_t report_number = 0;
    bool accepting = false;

    // Attempts of this entry.
    std::uint32_t in_flight = 0;
    /// Attempts begun since the last report, which does not include them.
    std::uint32_t begun_since_report = 0;
    /// Attempts ended since the last report, which still includes them.
    std::uint32_t ended_since_report = 0;
    std::uint32_t suspects_in_flight = 0;
    /// Time until which an attempt of a suspect may run here, even after its connection was lost.
    base::mono_time suspect_until = base::mono_time::min();

    // Membership in the lists of the route.
    bool candidate = false;
    std::uint32_t with_credit_position = not_listed;
    std::uint32_t counted_load = 0;
    std::uint32_t counted_limit = 0;
};

/// \brief Expected number of requests at an upstream: the last report, corrected by this entry's
/// attempts since then.
[[nodiscard]] constexpr std::uint32_t expected_load(upstream_state const& upstream)
{
    auto const reported = upstream.running + upstream.queued;
    auto const ended =
        upstream.ended_since_report < reported ? upstream.ended_since_report : reported;
    return reported - ended + upstream.begun_since_report;
}

} // namespace gooseberrywood::routing

#endif
