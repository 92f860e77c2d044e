#ifndef GOOSEBERRYWOOD_GATEWAY_OWNER_CANDIDATES_HPP
#define GOOSEBERRYWOOD_GATEWAY_OWNER_CANDIDATES_HPP

#include "gateway/gateway.hpp"
#include "rollout/job_placement.hpp"

#include <cstddef>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief The processes that could own a job, as last read. They refer to the gateway's state.
struct owner_candidates
{
    std::vector<rollout::owner_candidate> all;
    /// Position of this process.
    std::size_t own = 0;
};

/// \ingroup gateway
[[nodiscard]] owner_candidates list_owner_candidates(gateway const& self);

/// \ingroup gateway
/// \brief What this process says of itself to the others.
[[nodiscard]] rollout::member own_member(gateway const& self);

/// \ingroup gateway
/// \brief The member that should own a new job: this process, or one where the job gets far more
/// processor time.
[[nodiscard]] rollout::member owner_for_new_job(gateway const& self, std::size_t samples);

} // namespace gooseberrywood::gateway

#endif
