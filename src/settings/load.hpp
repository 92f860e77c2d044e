#ifndef GOOSEBERRYWOOD_SETTINGS_LOAD_HPP
#define GOOSEBERRYWOOD_SETTINGS_LOAD_HPP

#include "base/result.hpp"
#include "settings/process_settings.hpp"

#include <string_view>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Parses and validates the settings of an entry or agent.
/// \param text TOML.
/// \param file file name for error messages.
/// \returns `settings_invalid` with all errors, each as `file:line: key: description`.
[[nodiscard]] base::result<process_settings> parse(std::string_view text, std::string_view file);

/// \ingroup settings
/// \brief Reads and parses the settings file of an entry or agent.
/// \returns `io_error` if the file can't be read, otherwise the result of `parse`.
[[nodiscard]] base::result<process_settings> load(std::string const& file);

} // namespace gooseberrywood::settings

#endif
