#ifndef GOOSEBERRYWOOD_ENTRY_PLATFORM_WATCH_HPP
#define GOOSEBERRYWOOD_ENTRY_PLATFORM_WATCH_HPP

#include "entry/entry_process.hpp"

#include <string_view>

namespace gooseberrywood::entry
{

/// \brief Key of the store under which the configuration record is kept.
inline constexpr std::string_view configuration_key = "configuration";

/// \brief Starts to watch the store and the host list, if there is a platform.
[[nodiscard]] base::result<void> start_platform(entry_process& entry);

} // namespace gooseberrywood::entry

#endif
