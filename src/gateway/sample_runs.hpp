#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNS_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNS_HPP

#include "fleet/choose_move.hpp"
#include "fleet/choose_upstream.hpp"
#include "gateway/gateway.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Job, specification and progress of the sample that a run executes.
struct run_context
{
    owned_job* job = nullptr;
    rollout::sample_spec const* spec = nullptr;
    rollout::sample_progress* progress = nullptr;
};

/// \ingroup gateway
/// \brief Finds the job and sample of a run.
/// \returns nothing if this process no longer runs the job.
[[nodiscard]] std::optional<run_context> context_of(gateway& self, sample_run const& run);

/// \ingroup gateway
/// \brief Number of tokens that an event of a service carries.
[[nodiscard]] std::uint32_t tokens_per_event(gateway const& self, std::string_view service);

/// \ingroup gateway
/// \brief Number of events that a sample is expected to produce yet.
/// \param service service that runs it.
[[nodiscard]] double events_left(gateway const& self, std::string_view service,
                                 rollout::sample_spec const& spec,
                                 rollout::sample_progress const& progress);

/// \ingroup gateway
/// \brief Starts a run of a sample on the chosen upstream.
sample_run& start_run(gateway& self, owned_job& job, std::size_t index,
                      fleet::chosen_upstream const& chosen, base::mono_time now);

// Delays before a sample is dispatched again: the first one after a run that was aborted or failed,
// the second one after a run that the upstream refused or whose weights were too old.
inline constexpr base::duration abort_delay = std::chrono::milliseconds(50);
inline constexpr base::duration refusal_delay = std::chrono::milliseconds(20);

/// \ingroup gateway
/// \brief Logs and counts an event of a run.
/// \param status HTTP status of the upstream's answer; 0 without one.
void log_run(gateway& self, std::string_view event, sample_run const& run,
             run_context const& context, std::string_view reason, std::int64_t status);

/// \ingroup gateway
/// \brief Ends a run. Its sample returns to the waiting state and is not dispatched before the
/// delay has passed.
void end_run(gateway& self, std::uint64_t run_number, base::duration delay);

/// \ingroup gateway
/// \brief Aborts a run that failed or timed out. Another upstream resumes the sample after the last
/// event received.
void abort_run(gateway& self, std::uint64_t run_number, std::string_view reason);

/// \ingroup gateway
/// \brief Ends a run. The target of the move resumes the sample at once after the last event
/// received, so that no waiting sample takes the free slot.
void move_run(gateway& self, std::uint64_t run_number, fleet::sample_move const& move,
              base::mono_time now);

/// \ingroup gateway
/// \brief Ends a run of which no byte was sent. Another upstream runs the sample.
void withdraw_run(gateway& self, std::uint64_t run_number);

/// \ingroup gateway
/// \brief Withdraws the runs of which no byte was sent and whose upstream no longer serves.
void withdraw_unsent_runs(gateway& self);

/// \ingroup gateway
/// \brief Discards the texts of runs on upstreams that have started again with another software
/// version, and aborts these runs.
void abort_runs_on_replaced_upstreams(gateway& self);

/// \ingroup gateway
/// \brief Cancels the run of one sample, if there is one.
void cancel_run(gateway& self, std::string const& job_id, std::size_t index);

/// \ingroup gateway
/// \brief Cancels all runs of a job.
void cancel_runs(gateway& self, std::string const& job_id);

} // namespace gooseberrywood::gateway

#endif
