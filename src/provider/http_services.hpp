#ifndef GOOSEBERRYWOOD_PROVIDER_HTTP_SERVICES_HPP
#define GOOSEBERRYWOOD_PROVIDER_HTTP_SERVICES_HPP

#include "base/result.hpp"
#include "provider/services.hpp"

#include <string_view>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Speaks to the platform over HTTP, in the main loop. docs/platform.md has the paths.
/// \param url base URL, `http://IP:port`.
/// \returns `settings_invalid` when this is not such a URL.
[[nodiscard]] base::result<services> make_http_services(std::string_view url);

} // namespace gooseberrywood::provider

#endif
