#ifndef GOOSEBERRYWOOD_GATEWAY_ANSWER_CALLER_HPP
#define GOOSEBERRYWOOD_GATEWAY_ANSWER_CALLER_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "gateway/gateway.hpp"
#include "http/exchange.hpp"

#include <cstdint>
#include <string_view>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Refuses a request that has not run and will not run, with status 503 and `Retry-After`.
/// Logs and counts the answer.
///
/// \param retry_after delay after which the caller should retry.
void refuse(gateway& self, http::exchange& exchange, base::error const& error,
            base::duration retry_after);

/// \ingroup gateway
/// \brief Answers with an error. Logs and counts the answer.
///
/// \param status 502 or 504 when it is unknown whether the request ran; a 4xx status when the
/// request itself is invalid.
void answer_error(gateway& self, http::exchange& exchange, std::uint16_t status,
                  base::error const& error);

} // namespace gooseberrywood::gateway

#endif
