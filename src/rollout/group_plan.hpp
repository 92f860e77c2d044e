#ifndef GOOSEBERRYWOOD_ROLLOUT_GROUP_PLAN_HPP
#define GOOSEBERRYWOOD_ROLLOUT_GROUP_PLAN_HPP

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Time between the last event of a group and the trainer's read of its results: reward
/// call, storing and reading take 0.3 to 0.6 s.
inline constexpr base::duration group_finish_margin = std::chrono::milliseconds(500);

/// \ingroup rollout
/// \brief What can be expected of a group, in the order in which groups get engines.
enum class group_rank : std::uint8_t
{
    /// It can be complete by its due time, and the trainer waits for it.
    in_time,
    /// It can be complete only after the due time, but before the trainer gives up.
    late,
    /// The trainer has enough groups without it.
    not_awaited,
    /// It can't be complete before the trainer gives up.
    expired,
};

/// \ingroup rollout
/// \brief Names of the ranks for metrics and log lines, in the order of `group_rank`.
inline constexpr std::array<std::string_view, 4> group_rank_names = {"in_time", "late",
                                                                     "not_awaited", "expired"};

/// \ingroup rollout
/// \brief Engines that generate the samples of one model.
struct engine_capacity
{
    /// Samples that they generate concurrently for this process, in slots of the typical speed.
    double slots = 0;
    /// Typical time between two events, and that of the fastest engine.
    base::duration event_time{};
    base::duration fastest_event_time{};
};

/// \ingroup rollout
/// \brief An unfinished batch job.
struct open_job
{
    base::mono_time due{};
    base::mono_time give_up_at{};
    /// Priority of the route; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Number of groups of the job, and of those that the trainer waits for.
    std::size_t groups = 0;
    std::size_t desired = 0;
    /// Number of groups that are complete.
    std::size_t complete = 0;
    /// Number of first groups that are known to come from an earlier step.
    std::size_t carried = 0;
};

/// \ingroup rollout
/// \brief A group that is not complete.
struct open_group
{
    /// Indexes into the jobs and the engines of the input.
    std::size_t job = 0;
    std::size_t engines = 0;
    /// Position among the groups of the job as submitted. Groups of an earlier step come first.
    std::size_t position = 0;
    /// A sample of it was given up, so that it can't become complete.
    bool has_failed = false;
};

/// \ingroup rollout
/// \brief A sample without a complete text.
struct open_sample
{
    /// Index into the groups of the input.
    std::size_t group = 0;
    /// Expected number of events that it still generates.
    double events_left = 0;
    /// Time between two events on the engine that runs it; 0 while it waits.
    base::duration event_time{};
    /// It waits, and a run may start now.
    bool may_start = false;
};

/// \ingroup rollout
/// \brief All work of a process that generates samples.
struct group_plan_input
{
    std::vector<engine_capacity> engines;
    std::vector<open_job> jobs;
    std::vector<open_group> groups;
    std::vector<open_sample> samples;
};

/// \ingroup rollout
/// \brief The order in which samples start.
struct group_plan
{
    /// By group.
    std::vector<group_rank> ranks;
    /// By group: time at which it can be read if all its waiting samples start now.
    std::vector<base::mono_time> earliest_ends;
    /// Indexes of the samples that may start; the first one starts first.
    std::vector<std::size_t> order;
};

/// \ingroup rollout
/// \brief Ranks the groups and orders the samples that may start.
///
/// Load pattern: several steps arrive at once, engines fail or become slow, and not all groups can
/// be complete by their due time. Shared evenly, the engines would complete all of them late.
/// While the engines can complete all groups in time, the sample with the least slack starts first,
/// that is, the longest one of those with the same due time. Otherwise the groups that are nearest
/// to completion get the engines, as many as can be complete by their due time.
///
/// Groups of an earlier step, which the trainer waits for in any case, stand first in their job and
/// are preferred to all others. Not all of them are known, so that at least as many first groups
/// are preferred as the trainer does not wait for in each step, and a group that stands later must
/// be the smaller the later it stands. Large groups do not fail in each step then.
[[nodiscard]] group_plan plan_groups(group_plan_input const& input, base::mono_time now);

} // namespace gooseberrywood::rollout

#endif
