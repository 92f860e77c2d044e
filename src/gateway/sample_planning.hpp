#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_PLANNING_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_PLANNING_HPP

#include "base/time.hpp"
#include "rollout/group_plan.hpp"
#include "rollout/length_estimate.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief What a gateway knows between two plans of its samples. It is process memory: the next
/// owner of a job learns it again.
struct sample_planning
{
    rollout::length_estimates lengths;
    /// Expected number of output tokens that jobs of other processes still generate, by model.
    std::map<std::string, double, std::less<>> foreign_tokens;
    /// Groups that were incomplete when their job ended, with the time at which they are forgotten.
    /// The same process mostly owns the next step of a trainer, in which they come again.
    std::map<std::string, base::mono_time, std::less<>> unfinished_groups;
    /// Samples that waited after the last dispatch, by the rank of their group.
    std::array<std::size_t, rollout::group_rank_names.size()> waiting_by_rank{};
};

} // namespace gooseberrywood::gateway

#endif
