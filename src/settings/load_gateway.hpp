#ifndef GOOSEBERRYWOOD_SETTINGS_LOAD_GATEWAY_HPP
#define GOOSEBERRYWOOD_SETTINGS_LOAD_GATEWAY_HPP

#include "base/result.hpp"
#include "settings/gateway_settings.hpp"

#include <string>
#include <string_view>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Parses and validates the settings of a gateway.
/// \param text TOML.
/// \param file file name for error messages.
/// \returns `settings_invalid` with all errors.
[[nodiscard]] base::result<gateway_settings> parse_gateway(std::string_view text, std::string file);

/// \ingroup settings
/// \brief Reads and parses the settings file of a gateway.
[[nodiscard]] base::result<gateway_settings> load_gateway(std::string const& file);

} // namespace gooseberrywood::settings

#endif
