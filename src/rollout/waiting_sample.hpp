#ifndef GOOSEBERRYWOOD_ROLLOUT_WAITING_SAMPLE_HPP
#define GOOSEBERRYWOOD_ROLLOUT_WAITING_SAMPLE_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief A sample that waits for an upstream, with what decides its turn.
struct waiting_sample
{
    std::string job_id;
    /// Index in the job.
    std::size_t index = 0;
    /// The job's results are due then.
    base::mono_time due{};
    /// Output tokens that are still to be generated, as expected.
    std::uint32_t tokens_left = 0;
    /// Urgency of the route; 0 is the most urgent.
    std::uint32_t priority = 0;
};

/// \ingroup rollout
/// \brief Sorts waiting samples by their turn: least slack first, where slack is the time to the
/// due time less the time that the sample still needs.
///
/// Load pattern: a step arrives with more samples than there are free slots, and a few of them are
/// many times as long as the others. The long ones decide when the groups are whole, so they start
/// first. Samples that can't be in time any more come after all others.
/// \param us_per_token expected time for one token, in microseconds.
void sort_by_slack(std::vector<waiting_sample>& samples, base::mono_time now, double us_per_token);

} // namespace gooseberrywood::rollout

#endif
