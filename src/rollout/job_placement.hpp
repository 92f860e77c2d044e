#ifndef GOOSEBERRYWOOD_ROLLOUT_JOB_PLACEMENT_HPP
#define GOOSEBERRYWOOD_ROLLOUT_JOB_PLACEMENT_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief A process that can own a job.
struct owner_candidate
{
    std::string_view host;
    /// Available processor time, in cores.
    double processors = 0;
    /// Number of samples in the jobs that it owns.
    std::size_t open_samples = 0;
};

/// \ingroup rollout
/// \brief Selects the owner of a job. Jobs with the same key go to the same host while it has
/// processor time to spare, so that its connections to the upstreams are reused.
///
/// Load pattern: each trainer submits a job of a hundred samples every few seconds, to any host.
/// The events of such a job need more processor time than the smallest hosts have, and each host
/// that runs it opens a connection for every sample that runs at once.
/// Jobs that several trainers submit at the same moment, each to a different process, must not all
/// be placed on one host: while there are enough strong hosts, that is, hosts with a large fraction
/// of the strongest host's processor time, each trainer prefers a host that no other trainer
/// prefers.
/// \param candidates must not be empty.
/// \param samples number of samples in the job.
/// \param key identifies the trainer; the same for all its jobs.
/// \param all_keys the keys of all trainers, in the same order at each process; may be empty.
/// \returns the index of the selected candidate.
[[nodiscard]] std::size_t place_job(std::span<owner_candidate const> candidates,
                                    std::size_t samples, std::string_view key,
                                    std::span<std::string const> all_keys = {});

} // namespace gooseberrywood::rollout

#endif
