#include "cli/commands.hpp"
#include "cli/report.hpp"
#include "explain/id_history.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <iostream>
#include <string>

namespace gooseberrywood::cli
{

int explain_command(std::span<char const* const> args)
{
    explain::id_history history{args[0], {}};
    for (std::string line; std::getline(std::cin, line);)
    {
        explain::add_line(history, line);
    }
    explain::sort_lines(history);
    for (auto const& line : history.lines)
    {
        fmt::print("{}\n", line.text);
    }
    fmt::print("{}\n", explain::summary(history));
    return history.lines.empty() ? report({base::result_code::not_found,
                                           fmt::format("no log line names {}", history.id)})
                                 : 0;
}

} // namespace gooseberrywood::cli
