#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_PLAN_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_PLAN_HPP

#include "gateway/gateway.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief A waiting sample with the rank of its group.
struct planned_sample
{
    owned_job* job = nullptr;
    /// Index of the sample in the job.
    std::size_t index = 0;
    rollout::group_rank rank{};
};

/// \ingroup gateway
/// \brief Orders the waiting samples of all own jobs; see `rollout::plan_groups`. Logs each group
/// that can no longer be complete by its due time, once.
/// \returns the samples that may start now; the first one starts first.
[[nodiscard]] std::vector<planned_sample> plan_samples(gateway& self, base::mono_time now);

/// \ingroup gateway
/// \brief Counts the planned samples that still wait after the dispatch, for the metrics.
void count_waiting_by_rank(gateway& self, std::span<planned_sample const> plan);

/// \ingroup gateway
/// \brief Remembers the incomplete groups of a job that ends here, which may come again.
void remember_unfinished_groups(gateway& self, owned_job const& job);

/// \ingroup gateway
/// \brief Finds the number of first groups of a job that are known to come from an earlier step.
[[nodiscard]] std::size_t count_carried_groups(gateway const& self, owned_job const& job);

/// \ingroup gateway
/// \brief Estimates the work of open jobs that other processes run on the same engines.
void update_foreign_work(gateway& self);

/// \ingroup gateway
/// \brief Expected number of events that a sample still generates.
[[nodiscard]] double expected_events_left(gateway const& self, owned_job const& job,
                                          std::size_t index);

/// \ingroup gateway
/// \brief Records the length of a sample whose text is complete.
void note_sample_length(gateway& self, owned_job const& job, std::size_t index);

} // namespace gooseberrywood::gateway

#endif
