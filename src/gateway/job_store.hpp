#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_STORE_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_STORE_HPP

#include "gateway/gateway.hpp"
#include "rollout/saved_progress.hpp"

#include <functional>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Contents of a job's entries in the store.
struct stored_job
{
    rollout::batch_job spec;
    /// Ordered by position in the list of results.
    std::vector<rollout::sample_result> results;
    /// Progress of unfinished samples, as last saved by an owner.
    rollout::saved_progress progress;
};

/// \ingroup gateway
/// \brief Loads a job from the store.
void load_job(gateway& self, std::string const& id,
              std::function<void(base::result<stored_job>)> then);

} // namespace gooseberrywood::gateway

#endif
