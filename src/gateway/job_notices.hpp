#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_NOTICES_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_NOTICES_HPP

#include "gateway/gateway.hpp"
#include "rollout/member.hpp"

#include <cstdint>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Notifies a member that the store holds it as the owner of a job.
void notify_owner(gateway& self, rollout::member const& owner, rollout::job_record const& record,
                  std::uint64_t owner_revision);

/// \ingroup gateway
/// \brief Notifies the owner of a job that the job was ended. Does nothing unless another process
/// is known to own it.
void notify_job_ended(gateway& self, std::string const& job_id);

/// \ingroup gateway
/// \brief Records that an upstream loads weights and notifies all other owners of jobs.
void notify_weights_loading(gateway& self, std::string const& upstream,
                            fleet::announced_weights const& weights);

/// \ingroup gateway
/// \brief Handles a notice from another gateway.
void handle_notice(gateway& self, wire::job_assigned const& notice);
void handle_notice(gateway& self, wire::job_ended const& notice);
void handle_notice(gateway& self, wire::weights_loading const& notice);

} // namespace gooseberrywood::gateway

#endif
