#ifndef GOOSEBERRYWOOD_SETTINGS_LOAD_HPP
#define GOOSEBERRYWOOD_SETTINGS_LOAD_HPP

#include "base/result.hpp"
#include "settings/process_settings.hpp"

#include <string_view>

namespace gooseberrywood::settings
{

/// \ingroup settings
/// \brief Reads and checks settings.
/// \param text TOML.
/// \param file name for messages.
/// \returns `settings_invalid` with all faults, each as `file:line: key: what is wrong`.
[[nodiscard]] base::result<process_settings> parse(std::string_view text, std::string_view file);

/// \ingroup settings
/// \brief Reads a settings file.
/// \returns `io_error` when it can't be read, else as `parse`.
[[nodiscard]] base::result<process_settings> load(std::string const& file);

} // namespace gooseberrywood::settings

#endif
