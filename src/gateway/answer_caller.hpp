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
/// \brief Refuses a request that has not run and never will. Like the functions below, it writes a
/// log line and counts the answer.
///
/// \param come_back when the caller should try again.
void refuse(gateway& self, http::exchange& to, base::error const& why, base::duration come_back);

/// \ingroup gateway
/// \brief Answers with an error: one that promises nothing about whether the request ran, such as
/// 502 and 504, or one that says that the request itself is wrong.
void answer_error(gateway& self, http::exchange& to, std::uint16_t status, base::error const& why);

} // namespace gooseberrywood::gateway

#endif
