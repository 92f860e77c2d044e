#ifndef GOOSEBERRYWOOD_CLI_COMMAND_HPP
#define GOOSEBERRYWOOD_CLI_COMMAND_HPP

#include "base/result_code.hpp"

#include <array>
#include <cstddef>
#include <span>
#include <string_view>

namespace gooseberrywood::cli
{

/// \ingroup cli
/// \brief Result codes of a subcommand; unused elements are `ok`.
using command_codes = std::array<base::result_code, 12>;

/// \ingroup cli
/// \brief One row of the table of subcommands.
struct command
{
    /// One or two words, for example `bundle check`.
    std::string_view name;
    /// Arguments as shown in the help, for example `FILE [--json]`.
    std::string_view usage;
    std::string_view summary;
    /// Examples for the help, one a line, without the program's name.
    std::string_view examples;
    /// How many arguments besides the flags the subcommand takes.
    std::size_t arguments = 0;
    /// gflags names of the flags that it takes; unused elements stay empty.
    std::array<std::string_view, 4> flags;
    /// Codes that it ends with besides `ok` and `usage`; unused elements stay `ok`.
    command_codes codes;
    /// \param args the arguments without the flags, exactly `arguments` of them.
    /// \returns the exit code of the process.
    int (*call)(std::span<char const* const> args);
};

} // namespace gooseberrywood::cli

#endif
