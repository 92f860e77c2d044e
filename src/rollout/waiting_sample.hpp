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
/// \brief A sample that waits for an upstream, with the values that determine its order.
struct waiting_sample
{
    std::string job_id;
    /// Index of the sample in the job.
    std::size_t index = 0;
    /// Time at which the results of the job are due.
    base::mono_time due{};
    /// Expected number of output tokens that remain to be generated.
    std::uint32_t tokens_left = 0;
    /// Priority of the route; 0 is the most urgent.
    std::uint32_t priority = 0;
};

/// \ingroup rollout
/// \brief Sorts waiting samples by slack, least slack first. The slack is the time until the due
/// time minus the time that the sample still needs; it is larger for routes of lower priority.
///
/// Load pattern: a step arrives with more samples than there are free slots, and a few samples are
/// many times as long as the others. The long ones determine when the groups are complete, so they
/// start first. Samples whose due time has passed come after all others.
/// \param us_per_token expected generation time of one token, in microseconds.
void sort_by_slack(std::vector<waiting_sample>& samples, base::mono_time now, double us_per_token);

} // namespace gooseberrywood::rollout

#endif
