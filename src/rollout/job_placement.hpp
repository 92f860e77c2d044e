#ifndef GOOSEBERRYWOOD_ROLLOUT_JOB_PLACEMENT_HPP
#define GOOSEBERRYWOOD_ROLLOUT_JOB_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief A process that could own a job.
struct owner_candidate
{
    std::string_view host;
    /// Processor time a second, in cores.
    double processors = 0;
    /// Samples of the jobs that it owns.
    std::size_t open_samples = 0;
};

/// \ingroup rollout
/// \brief The candidate that should own a new job: the one where a sample gets most processor
/// time. The one that accepted the job keeps it unless another one is much better off, because a
/// job that moves starts later.
///
/// Load pattern: jobs of a hundred samples, whose events together need more processor time than the
/// smallest hosts have, arrive at hosts of unequal size.
/// \param candidates all, at least `own`.
/// \param own position of the process that accepted the job.
/// \returns a position among the candidates.
[[nodiscard]] std::size_t place_job(std::span<owner_candidate const> candidates, std::size_t own,
                                    std::size_t samples);

/// \ingroup rollout
/// \brief Position of a process in the order in which processes take over a job without an owner:
/// strong hosts first, else in an order of each job's own.
/// \returns the number of candidates before it.
[[nodiscard]] std::int64_t take_over_rank(std::span<owner_candidate const> candidates,
                                          std::size_t own, std::string_view job_id);

} // namespace gooseberrywood::rollout

#endif
