#ifndef GOOSEBERRYWOOD_ROUTING_UPSTREAM_STATE_HPP
#define GOOSEBERRYWOOD_ROUTING_UPSTREAM_STATE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <limits>
#include <string>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief What the entry knows of one upstream.
struct upstream_state
{
    static constexpr std::uint32_t not_listed = std::numeric_limits<std::uint32_t>::max();

    std::string name;
    /// Place on the hash ring of the route; derived from host and name.
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
    /// Begun since the report, so that the report can't contain them.
    std::uint32_t begun_since_report = 0;
    /// Ended since the report, which still counts them.
    std::uint32_t ended_since_report = 0;
    std::uint32_t suspects_in_flight = 0;
    /// Until then an attempt of a suspect may run here, also after its connection was lost.
    base::mono_time suspect_until = base::mono_time::min();

    // Membership in the lists of the route.
    bool candidate = false;
    std::uint32_t with_credit_position = not_listed;
    std::uint32_t counted_load = 0;
    std::uint32_t counted_limit = 0;
};

/// \brief Requests expected there now: the lagging report, corrected by this entry's own attempts
/// since.
[[nodiscard]] constexpr std::uint32_t expected_load(upstream_state const& upstream)
{
    auto const reported = upstream.running + upstream.queued;
    auto const ended =
        upstream.ended_since_report < reported ? upstream.ended_since_report : reported;
    return reported - ended + upstream.begun_since_report;
}

} // namespace gooseberrywood::routing

#endif
