#ifndef GOOSEBERRYWOOD_GATEWAY_SUBMIT_JOB_HPP
#define GOOSEBERRYWOOD_GATEWAY_SUBMIT_JOB_HPP

#include "gateway/job_answers.hpp"
#include "platform/caller_head.hpp"

#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Stores a submitted batch job and answers the caller once the outcome is known.
void submit_job(gateway& self, shared_exchange const& exchange, platform::caller_head const& head,
                fleet::route const& route, std::string const& team);

} // namespace gooseberrywood::gateway

#endif
