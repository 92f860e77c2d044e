#ifndef GOOSEBERRYWOOD_CLI_HELP_HPP
#define GOOSEBERRYWOOD_CLI_HELP_HPP

#include "cli/command.hpp"

#include <string>
#include <string_view>

namespace gooseberrywood::cli::detail
{

/// Help of the program: subcommands and exit codes.
/// \param group only subcommands of a group such as `bundle`; empty for all.
[[nodiscard]] std::string help(std::string_view group);

/// Help of one subcommand: usage, flags, examples, exit codes.
[[nodiscard]] std::string help(command const& of);

} // namespace gooseberrywood::cli::detail

#endif
