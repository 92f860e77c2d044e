#ifndef GOOSEBERRYWOOD_CLI_FLAGS_HPP
#define GOOSEBERRYWOOD_CLI_FLAGS_HPP

#include "base/result.hpp"
#include "cli/command.hpp"

#include <gflags/gflags.h>

#include <span>
#include <vector>

// Flags that more than one subcommand takes; flags.cpp defines them.
DECLARE_string(secret_key_file);

namespace gooseberrywood::cli::detail
{

/// What remains of the arguments once the flags are set.
struct parsed_arguments
{
    std::vector<char const*> arguments;
    bool help = false;
};

/// Sets the gflags flags of a subcommand. `--name=value`, `--name value`, `--switch` and
/// `--noswitch` are accepted, hyphens count as underscores, and `--` ends the flags.
/// \returns `usage` when a flag is unknown to the subcommand, lacks its value or has a wrong one.
[[nodiscard]] base::result<parsed_arguments> set_flags(command const& of,
                                                       std::span<char const* const> args);

} // namespace gooseberrywood::cli::detail

#endif
