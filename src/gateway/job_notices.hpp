#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_NOTICES_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_NOTICES_HPP

#include "gateway/gateway.hpp"
#include "rollout/member.hpp"

#include <cstdint>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Tells a member that the store names it as the owner of a job.
void tell_owner(gateway& self, rollout::member const& owner, rollout::job_record const& record,
                std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Tells the owner of a job, if another process is known as that, that the job was ended.
void tell_ended(gateway& self, std::string const& job_id);

/// \ingroup gateway
/// \brief Tells the owners of jobs, and this process, that an upstream loads weights.
void tell_load(gateway& self, std::string const& upstream, fleet::announced_weights const& what);

/// \ingroup gateway
/// \brief Acts on a notice of another gateway.
void handle_notice(gateway& self, wire::job_assigned const& notice);
void handle_notice(gateway& self, wire::job_ended const& notice);
void handle_notice(gateway& self, wire::weights_loading const& notice);

} // namespace gooseberrywood::gateway

#endif
