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
/// \brief What the store holds of a job.
struct stored_job
{
    rollout::batch_job spec;
    /// By position.
    std::vector<rollout::sample_result> results;
    /// Texts of unfinished samples that an owner has left.
    rollout::saved_progress progress;
};

/// \ingroup gateway
/// \brief Reads a job from the store.
void load_job(gateway& self, std::string const& id,
              std::function<void(base::result<stored_job>)> then);

} // namespace gooseberrywood::gateway

#endif
