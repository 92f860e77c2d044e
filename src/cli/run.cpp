#include "cli/run.hpp"

#include "cli/commands.hpp"
#include "cli/flags.hpp"
#include "cli/help.hpp"
#include "cli/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <span>
#include <string>
#include <system_error>

namespace gooseberrywood::cli
{

namespace
{

using arguments = std::span<char const* const>;

bool is_help(std::string_view word)
{
    return word == "--help" || word == "-h";
}

int usage_fault(std::string const& what, std::string_view see)
{
    return report(
        {base::result_code::usage, fmt::format("{}; see gooseberrywood {}--help", what, see)});
}

command const* find_command(std::string_view name)
{
    auto const all = commands();
    auto const at =
        std::find_if(all.begin(), all.end(), [&](command const& one) { return one.name == name; });
    return at != all.end() ? &*at : nullptr;
}

bool is_group(std::string_view word)
{
    auto const all = commands();
    return std::any_of(all.begin(), all.end(),
                       [&](command const& one)
                       { return one.name.starts_with(fmt::format("{} ", word)); });
}

int call(command const& chosen, arguments args)
{
    auto const see = fmt::format("{} ", chosen.name);
    auto const parsed = detail::set_flags(chosen, args);
    if (!parsed)
    {
        return usage_fault(parsed.error().message, see);
    }
    if (parsed->help)
    {
        fmt::print("{}", detail::help(chosen));
        return 0;
    }
    if (parsed->arguments.size() != chosen.arguments)
    {
        return usage_fault(fmt::format("{} takes {} argument{} besides its flags, not {}",
                                       chosen.name, chosen.arguments,
                                       chosen.arguments == 1 ? "" : "s", parsed->arguments.size()),
                           see);
    }
    return chosen.call(parsed->arguments);
}

int dispatch(arguments args)
{
    if (args.empty())
    {
        return usage_fault("a command is missing", "");
    }
    std::string_view const first = args[0];
    if (is_help(first))
    {
        fmt::print("{}", detail::help(""));
        return 0;
    }
    if (auto const* chosen = find_command(first))
    {
        return call(*chosen, args.subspan(1));
    }
    if (!is_group(first))
    {
        return usage_fault(fmt::format("there is no command \"{}\"", first), "");
    }
    if (args.size() > 1 && is_help(args[1]))
    {
        fmt::print("{}", detail::help(first));
        return 0;
    }
    auto const name = fmt::format("{} {}", first, args.size() > 1 ? args[1] : "");
    if (auto const* chosen = find_command(name))
    {
        return call(*chosen, args.subspan(2));
    }
    return usage_fault(args.size() > 1 ? fmt::format("there is no command \"{}\"", name)
                                       : fmt::format("{} needs a further word", first),
                       fmt::format("{} ", first));
}

} // namespace

int run(int argc, char const* const* argv)
{
    // Flags are global variables; they get their defaults back for a further run in one process.
    gflags::FlagSaver const saver;
    arguments const all(argv, static_cast<std::size_t>(argc));
    try
    {
        auto const exit_code = dispatch(all.subspan(std::min<std::size_t>(all.size(), 1)));
        // A full disk shows only when buffered output is written at last.
        bool const written = std::fflush(stdout) == 0 && std::ferror(stdout) == 0;
        return written ? exit_code
                       : report({base::result_code::io_error, "can't write to standard output"});
    }
    catch (std::system_error const& failure)
    {
        // fmt::print throws this when output that exceeds the buffer can't be written.
        return report({base::result_code::io_error, failure.what()});
    }
}

} // namespace gooseberrywood::cli
