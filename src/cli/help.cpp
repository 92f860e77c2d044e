#include "cli/help.hpp"

#include "cli/commands.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <map>
#include <vector>

namespace gooseberrywood::cli::detail
{

namespace
{

std::string with_usage(command const& of)
{
    return of.usage.empty() ? std::string(of.name) : fmt::format("{} {}", of.name, of.usage);
}

std::string exit_codes(std::vector<base::result_code> codes)
{
    std::sort(codes.begin(), codes.end(),
              [](base::result_code a, base::result_code b)
              { return base::info(a).exit_code < base::info(b).exit_code; });
    std::string text = "\nExit codes:\n";
    for (auto const code : codes)
    {
        auto const& row = base::info(code);
        text += fmt::format("  {:>3}  {} ({}): {}\n", row.exit_code, row.name,
                            static_cast<unsigned>(code), row.meaning);
    }
    return text;
}

std::string all_exit_codes()
{
    std::map<unsigned, std::string> names;
    for (auto const& row : base::result_codes())
    {
        auto& text = names[row.exit_code];
        text += fmt::format("{}{}", text.empty() ? "" : ", ", row.name);
    }
    std::string text = "\nExit codes and the results that they stand for:\n";
    for (auto const& [exit_code, results] : names)
    {
        text += fmt::format("  {:>3}  {}\n", exit_code, results);
    }
    return text;
}

} // namespace

std::string help(std::string_view group)
{
    auto text = fmt::format(
        "Usage: gooseberrywood {}COMMAND [ARGUMENT...] [--FLAG=VALUE...]\n\nCommands:\n",
        group.empty() ? "" : fmt::format("{} ", group));
    for (auto const& one : commands())
    {
        if (group.empty() || one.name.starts_with(fmt::format("{} ", group)))
        {
            text += fmt::format("  {}\n      {}\n", with_usage(one), one.summary);
        }
    }
    text += "\nExample:\n  gooseberrywood bundle check examples/zagorje.toml\n"
            "\ngooseberrywood COMMAND --help shows more.\n";
    return text + all_exit_codes();
}

std::string help(command const& of)
{
    auto text = fmt::format("Usage: gooseberrywood {}\n\n{}\n", with_usage(of), of.summary);
    bool first = true;
    for (auto const name : of.flags)
    {
        gflags::CommandLineFlagInfo flag;
        if (!name.empty() && gflags::GetCommandLineFlagInfo(std::string(name).c_str(), &flag))
        {
            text +=
                fmt::format("{}  --{}  {}\n", first ? "\nFlags:\n" : "", name, flag.description);
            first = false;
        }
    }
    text += "\nExamples:\n";
    for (std::string_view rest = of.examples; !rest.empty();)
    {
        auto const end = std::min(rest.find('\n'), rest.size());
        text += fmt::format("  gooseberrywood {}\n", rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    std::vector<base::result_code> codes = {base::result_code::ok, base::result_code::usage};
    std::copy_if(of.codes.begin(), of.codes.end(), std::back_inserter(codes),
                 [](base::result_code code) { return code != base::result_code::ok; });
    return text + exit_codes(std::move(codes));
}

} // namespace gooseberrywood::cli::detail
