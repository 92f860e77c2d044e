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
/// \brief JSON form of an error: its code, its name, whether the request certainly was not
/// executed, and its message.
[[nodiscard]] std::string error_json(base::error const& error);

/// \ingroup http
/// \brief Responds with an error.
/// \param retry_at sets `Retry-After` in whole seconds, rounded up.
void respond_error(exchange& request, base::error const& error,
                   std::optional<base::mono_time> retry_at = std::nullopt);

} // namespace gooseberrywood::http

#endif
