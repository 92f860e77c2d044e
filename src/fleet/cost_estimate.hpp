#ifndef GOOSEBERRYWOOD_FLEET_COST_ESTIMATE_HPP
#define GOOSEBERRYWOOD_FLEET_COST_ESTIMATE_HPP

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Number of size classes of bodies. Each class covers four times the sizes of the one
/// below; the first one ends at 1 KiB, the last one has no end.
inline constexpr std::size_t size_class_count = 8;

/// \ingroup fleet
/// \brief Measured response times of the plain requests of a service.
struct service_costs
{
    /// Decaying mean of all requests, in microseconds; 0 while none was answered.
    double mean_us = 0;
    /// Decaying means of the size classes of each route; 0 while none was answered.
    std::map<std::string, std::array<double, size_class_count>, std::less<>> class_us_by_route;
};

/// \ingroup fleet
/// \brief Costs by service.
using cost_estimates = std::map<std::string, service_costs, std::less<>>;

/// \ingroup fleet
/// \brief Adds the response time of a plain request.
///
/// Load pattern: lookups of 20 to 30 ms, reward calls, and rare requests of 220 ms share the
/// upstreams of a service.
/// \param body_bytes size of the request's body.
void note_cost(cost_estimates& costs, std::string_view service, std::string_view route,
               std::size_t body_bytes, base::duration response_time);

/// \ingroup fleet
/// \brief Expected cost of a plain request as a multiple of the service's mean response time; 1
/// while nothing is known of its route and size.
[[nodiscard]] double expected_work(cost_estimates const& costs, std::string_view service,
                                   std::string_view route, std::size_t body_bytes);

/// \ingroup fleet
/// \brief Expected time in which an upstream with a free slot completes a sample.
/// \param events_left number of events that the sample is expected to produce yet.
/// \param event_us time per event at the upstream, in microseconds.
/// \param holds_prompt whether the upstream has read the prompt of the sample's group.
/// \returns microseconds.
[[nodiscard]] double sample_cost_us(double events_left, double event_us, bool holds_prompt);

} // namespace gooseberrywood::fleet

#endif
