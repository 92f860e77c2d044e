#ifndef GOOSEBERRYWOOD_HTTP_ERROR_RESPONSE_HPP
#define GOOSEBERRYWOOD_HTTP_ERROR_RESPONSE_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "http/exchange.hpp"

#include <optional>
#include <string>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief JSON of an error: number, name, whether the request was not run, and the message.
[[nodiscard]] std::string error_json(base::error const& why);

/// \ingroup http
/// \brief Answers with an error.
/// \param retry_at sets `Retry-After` in whole seconds, rounded up.
void respond_error(exchange& to, base::error const& why,
                   std::optional<base::mono_time> retry_at = std::nullopt);

} // namespace gooseberrywood::http

#endif
