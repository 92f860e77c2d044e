#ifndef GOOSEBERRYWOOD_ROLLOUT_LENGTH_ESTIMATE_HPP
#define GOOSEBERRYWOOD_ROLLOUT_LENGTH_ESTIMATE_HPP

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Learned lengths of the samples of one model: sums over complete samples, in which an
/// older sample counts less.
///
/// Load pattern: the length hint of a sample is right at the median, but some samples are several
/// times as long, so that the mean length exceeds the hint by a factor that differs by model.
struct length_estimate
{
    /// Events of the samples that came with a hint, and the events that the hints stated.
    double events_with_hint = 0;
    double hinted_events = 0;
    /// Events of all samples, and their number.
    double events = 0;
    double samples = 0;
};

/// \ingroup rollout
/// \brief Learned lengths by model.
using length_estimates = std::map<std::string, length_estimate, std::less<>>;

/// \ingroup rollout
/// \brief Records the length of a complete sample.
/// \param hinted_events number of events by the hint of the sample; 0 without a hint.
void note_length(length_estimate& estimate, double hinted_events, std::size_t events);

/// \ingroup rollout
/// \brief Expected number of events that a sample still generates. It is never 0: a sample that
/// has exceeded its expected length is likely one of the long ones, so that it is expected to
/// generate the more events the longer it is.
/// \param hinted_events number of events by the hint of the sample; 0 without a hint.
/// \param generated number of events that the sample has.
[[nodiscard]] double events_left(length_estimate const& estimate, double hinted_events,
                                 std::size_t generated);

} // namespace gooseberrywood::rollout

#endif
