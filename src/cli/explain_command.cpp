#include "cli/commands.hpp"
#include "cli/report.hpp"
#include "explain/story.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <iostream>
#include <string>

namespace gooseberrywood::cli
{

int explain_command(std::span<char const* const> args)
{
    explain::story story{args[0], {}};
    for (std::string line; std::getline(std::cin, line);)
    {
        explain::add_line(story, line);
    }
    explain::sort_lines(story);
    for (auto const& line : story.lines)
    {
        fmt::print("{}\n", line.text);
    }
    fmt::print("{}\n", explain::summary(story));
    return story.lines.empty() ? report({base::result_code::not_found,
                                         fmt::format("no log line names {}", story.id)})
                               : 0;
}

} // namespace gooseberrywood::cli
