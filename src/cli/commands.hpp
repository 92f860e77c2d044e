#ifndef GOOSEBERRYWOOD_CLI_COMMANDS_HPP
#define GOOSEBERRYWOOD_CLI_COMMANDS_HPP

#include "cli/command.hpp"

#include <span>

namespace gooseberrywood::cli
{

/// \ingroup cli
/// \brief All subcommands in the order of the help. A further one is one row in commands.cpp.
[[nodiscard]] std::span<command const> commands();

// Bodies of the subcommands, one file each: NAME_command.cpp. See `command::call`.
int entry_command(std::span<char const* const> args);
int gateway_command(std::span<char const* const> args);
int explain_command(std::span<char const* const> args);
int agent_command(std::span<char const* const> args);
int bundle_check_command(std::span<char const* const> args);
int bundle_keygen_command(std::span<char const* const> args);
int bundle_sign_command(std::span<char const* const> args);
int bundle_show_command(std::span<char const* const> args);
int bundle_apply_command(std::span<char const* const> args);
int domain_out_command(std::span<char const* const> args);
int domain_in_command(std::span<char const* const> args);
int key_new_command(std::span<char const* const> args);
int state_command(std::span<char const* const> args);
int version_command(std::span<char const* const> args);

} // namespace gooseberrywood::cli

#endif
