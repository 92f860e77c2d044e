#ifndef GOOSEBERRYWOOD_PROVIDER_HTTP_SERVICES_HPP
#define GOOSEBERRYWOOD_PROVIDER_HTTP_SERVICES_HPP

#include "base/result.hpp"
#include "provider/services.hpp"

#include <string_view>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Creates the services that call the platform over HTTP from the main loop. The paths are
/// described in docs/platform.md.
/// \param url base URL, `http://IP:port`.
/// \returns the services, or `settings_invalid` when the URL cannot be parsed.
[[nodiscard]] base::result<services> make_http_services(std::string_view url);

} // namespace gooseberrywood::provider

#endif
