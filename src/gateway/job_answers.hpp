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
/// \brief Longest time for one call to the store on behalf of a caller.
inline constexpr base::duration caller_store_timeout = std::chrono::milliseconds(900);

/// \ingroup gateway
/// \brief Calls whose outcome is unclear are sent this often, with this pause between.
inline constexpr int most_store_tries = 3;
inline constexpr base::duration store_retry_pause = std::chrono::milliseconds(60);

/// \ingroup gateway
/// \brief Answers without content.
void answer_empty(http::exchange& to, std::uint16_t status);

/// \ingroup gateway
/// \brief Refuses a call that the store would be needed for.
void answer_unsure(gateway& self, http::exchange& to, base::error const& why);

/// \ingroup gateway
/// \brief Answers that there is no such batch job of the team.
void answer_missing(gateway& self, http::exchange& to);

/// \ingroup gateway
/// \brief Calls a function with a job's record, from memory or the store; answers if there is none.
void with_record(gateway& self, shared_exchange const& from, std::string const& id,
                 std::string const& team, std::function<void(stored_record const&)> const& then);

} // namespace gooseberrywood::gateway

#endif
