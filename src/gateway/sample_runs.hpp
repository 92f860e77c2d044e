#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNS_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNS_HPP

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
/// \brief What a run belongs to.
struct run_place
{
    owned_job* job = nullptr;
    rollout::sample_spec const* spec = nullptr;
    rollout::sample_progress* progress = nullptr;
};

/// \ingroup gateway
/// \returns nothing when the job is not run here any more.
[[nodiscard]] std::optional<run_place> place_of(gateway& self, sample_run const& run);

/// \ingroup gateway
/// \brief Sends a sample to an upstream.
void start_run(gateway& self, owned_job& job, std::size_t index,
               fleet::chosen_upstream const& chosen, base::mono_time now);

/// \ingroup gateway
/// \brief Ends a run that broke or fell silent; another upstream goes on after the last event.
void break_run(gateway& self, std::uint64_t number, std::string_view reason);

/// \ingroup gateway
/// \brief Ends a run on a slow upstream; a faster one goes on after the last event.
void leave_upstream(gateway& self, std::uint64_t number);

/// \ingroup gateway
/// \brief Ends the run of one sample, if there is one.
void cancel_run(gateway& self, std::string const& job_id, std::size_t index);

/// \ingroup gateway
/// \brief Ends the runs of a job.
void cancel_runs(gateway& self, std::string const& job_id);

} // namespace gooseberrywood::gateway

#endif
