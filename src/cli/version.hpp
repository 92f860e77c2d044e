#ifndef GOOSEBERRYWOOD_CLI_VERSION_HPP
#define GOOSEBERRYWOOD_CLI_VERSION_HPP

#include <string_view>

namespace gooseberrywood::cli
{

/// \ingroup cli
/// \brief Version of the program; a test compares it with CMakeLists.txt.
inline constexpr std::string_view version = "0.1.0";

} // namespace gooseberrywood::cli

#endif
