#ifndef GOOSEBERRYWOOD_GATEWAY_CHOOSE_OWNER_HPP
#define GOOSEBERRYWOOD_GATEWAY_CHOOSE_OWNER_HPP

#include "gateway/gateway.hpp"
#include "rollout/job_record.hpp"
#include "rollout/member.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief What this process says of itself to the others.
[[nodiscard]] rollout::member own_member(gateway const& self);

/// \ingroup gateway
/// \brief The member that should own a job, as far as the shared entries were read.
[[nodiscard]] rollout::member choose_owner(gateway const& self, rollout::job_record const& record);

} // namespace gooseberrywood::gateway

#endif
