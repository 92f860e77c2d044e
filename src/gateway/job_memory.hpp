#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_MEMORY_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_MEMORY_HPP

#include "base/byte_budget.hpp"
#include "gateway/gateway.hpp"
#include "rollout/batch_job.hpp"

#include <memory>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Reserves memory for decoding a submitted batch job and for storing it.
/// \returns false if the request was answered because there is no room.
[[nodiscard]] bool reserve_submission(gateway& self, http::exchange& exchange);

/// \ingroup gateway
/// \brief Reserves memory for reading a stored batch job for a caller.
/// \returns false if the request was answered because there is no room.
[[nodiscard]] bool reserve_job_read(gateway& self, http::exchange& exchange);

/// \ingroup gateway
/// \brief Whether this process has room to run another batch job.
[[nodiscard]] bool has_room_for_job(gateway const& self, rollout::batch_job const& spec);

/// \ingroup gateway
/// \brief Counts a batch job that this process runs, as long as the result is kept. Jobs that other
/// processes accepted count even if they exceed the limit.
[[nodiscard]] std::shared_ptr<base::byte_share> count_job(gateway const& self,
                                                          rollout::batch_job const& spec);

} // namespace gooseberrywood::gateway

#endif
