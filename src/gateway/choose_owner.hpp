#ifndef GOOSEBERRYWOOD_GATEWAY_CHOOSE_OWNER_HPP
#define GOOSEBERRYWOOD_GATEWAY_CHOOSE_OWNER_HPP

#include "gateway/gateway.hpp"
#include "rollout/job_record.hpp"
#include "rollout/member.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Member entry that describes this process to the other gateways.
[[nodiscard]] rollout::member own_member(gateway const& self);

/// \ingroup gateway
/// \brief Chooses the member that should own a job, based on the last read of the shared entries.
[[nodiscard]] rollout::member choose_owner(gateway const& self, rollout::job_record const& record);

} // namespace gooseberrywood::gateway

#endif
