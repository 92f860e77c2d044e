#ifndef GOOSEBERRYWOOD_GATEWAY_READ_JOB_HPP
#define GOOSEBERRYWOOD_GATEWAY_READ_JOB_HPP

#include "gateway/job_answers.hpp"
#include "platform/batch_calls.hpp"

#include <string>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Answers with the results of a job: from memory if this process owns it, else from its
/// owner or the store.
void read_results(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
                  std::string const& team);

/// \ingroup gateway
/// \brief Answers with the request body of a sample as it was submitted.
void read_body(gateway& self, shared_exchange const& exchange, platform::batch_call const& call,
               std::string const& team);

} // namespace gooseberrywood::gateway

#endif
