#ifndef GOOSEBERRYWOOD_GATEWAY_END_JOB_HPP
#define GOOSEBERRYWOOD_GATEWAY_END_JOB_HPP

#include "gateway/job_answers.hpp"
#include "platform/batch_calls.hpp"

#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Handles a caller's request to end a batch job.
void end_job(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
             std::string const& team);

} // namespace gooseberrywood::gateway

#endif
