#ifndef GOOSEBERRYWOOD_GATEWAY_JOB_ANSWERS_HPP
#define GOOSEBERRYWOOD_GATEWAY_JOB_ANSWERS_HPP

#include "gateway/gateway.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace gooseberrywood::gateway
{

using shared_exchange = std::shared_ptr<http::exchange>;

/// \ingroup gateway
/// \brief Timeout of one store call made on behalf of a caller.
inline constexpr base::duration caller_store_timeout = std::chrono::milliseconds(900);

/// \ingroup gateway
/// \brief Maximum number of attempts of a store call whose outcome is unknown.
inline constexpr int max_store_attempts = 3;

/// \ingroup gateway
/// \brief Delay between attempts of a store call whose outcome is unknown.
inline constexpr base::duration store_retry_delay = std::chrono::milliseconds(60);

/// \ingroup gateway
/// \brief Answers with an empty JSON object.
void answer_empty(http::exchange& exchange, std::uint16_t status);

/// \ingroup gateway
/// \brief Refuses a call because the store is needed for it and is not available.
void answer_store_unavailable(gateway& self, http::exchange& exchange, base::error const& cause);

/// \ingroup gateway
/// \brief Answers that the team has no batch job with the given id.
void answer_job_not_found(gateway& self, http::exchange& exchange);

/// \ingroup gateway
/// \brief Looks up a job's record in memory, then in the store, and passes it to `then`. Answers
/// the caller itself when the team has no such job or the store fails.
void with_job_record(gateway& self, shared_exchange const& exchange, std::string const& id,
                     std::string const& team,
                     std::function<void(stored_record const&)> const& then);

} // namespace gooseberrywood::gateway

#endif
