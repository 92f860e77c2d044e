#ifndef GOOSEBERRYWOOD_GATEWAY_END_JOB_HPP
#define GOOSEBERRYWOOD_GATEWAY_END_JOB_HPP

#include "gateway/job_answers.hpp"
#include "platform/batch_calls.hpp"

#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Ends a batch job for its caller.
void end_job(gateway& self, shared_exchange const& from, platform::batch_call const& call,
             std::string const& team);

} // namespace gooseberrywood::gateway

#endif
