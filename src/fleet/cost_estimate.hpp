#ifndef GOOSEBERRYWOOD_FLEET_COST_ESTIMATE_HPP
#define GOOSEBERRYWOOD_FLEET_COST_ESTIMATE_HPP

#include <cstddef>
#include <cstdint>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief Number of events that a sample is expected to produce yet.
///
/// Load pattern: the length hint of a sample is right at the median and often far off; one sample
/// in twelve is five times as long as the others. A sample that has outlived its hint is likely to
/// be one of these, so that it must not count as nearly finished.
/// \param expected_tokens length hint of the sample.
/// \param tokens_per_event see `service::tokens_per_event`.
/// \param events number of events that it has produced.
[[nodiscard]] double expected_events_left(std::uint32_t expected_tokens,
                                          std::uint32_t tokens_per_event, std::size_t events);

/// \ingroup fleet
/// \brief Expected time in which an upstream with a free slot completes a sample.
/// \param events_left number of events that the sample is expected to produce yet.
/// \param event_us time per event at the upstream, in microseconds.
/// \param holds_prompt whether the upstream has read the prompt of the sample's group.
/// \returns microseconds.
[[nodiscard]] double sample_cost_us(double events_left, double event_us, bool holds_prompt);

} // namespace gooseberrywood::fleet

#endif
