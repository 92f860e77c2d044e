#include "cli/flags.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>

DEFINE_string(secret_key_file, "", "file with the operators' secret key, 128 hexadecimal digits");

namespace gooseberrywood::cli::detail
{

namespace
{

// ParseCommandLineFlags of gflags is not used: it exits with status 1 and its own message on a
// wrong flag, and accepts the flags of all subcommands and its built-in ones everywhere.
struct flag_argument
{
    std::string name;
    std::optional<std::string> value;
};

flag_argument split(std::string_view argument)
{
    argument.remove_prefix(argument.find_first_not_of('-'));
    auto const equals = argument.find('=');
    flag_argument flag{std::string(argument.substr(0, equals)), std::nullopt};
    std::replace(flag.name.begin(), flag.name.end(), '-', '_');
    if (equals != std::string_view::npos)
    {
        flag.value = std::string(argument.substr(equals + 1));
    }
    return flag;
}

bool is_flag_of(command const& of, std::string_view name)
{
    return !name.empty() && std::find(of.flags.begin(), of.flags.end(), name) != of.flags.end();
}

bool is_switch(std::string const& name)
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.type == "bool";
}

/// Completes a switch: `--json` stands for `--json=true`, `--nojson` for `--json=false`.
void complete_switch(command const& of, flag_argument& flag)
{
    if (flag.value)
    {
        return;
    }
    if (is_flag_of(of, flag.name) && is_switch(flag.name))
    {
        flag.value = "true";
    }
    else if (flag.name.starts_with("no") && is_flag_of(of, flag.name.substr(2)) &&
             is_switch(flag.name.substr(2)))
    {
        flag = {flag.name.substr(2), "false"};
    }
}

} // namespace

base::result<parsed_arguments> set_flags(command const& of, std::span<char const* const> args)
{
    parsed_arguments parsed;
    bool flags_ended = false;
    for (std::size_t i = 0; i < args.size(); ++i)
    {
        std::string_view const argument = args[i];
        if (flags_ended || argument.size() < 2 || argument.front() != '-')
        {
            parsed.arguments.push_back(args[i]);
            continue;
        }
        if (argument == "--")
        {
            flags_ended = true;
            continue;
        }
        if (argument == "--help" || argument == "-h")
        {
            parsed.help = true;
            continue;
        }
        auto flag = split(argument);
        complete_switch(of, flag);
        if (!is_flag_of(of, flag.name))
        {
            return base::fail(base::result_code::usage,
                              fmt::format("{} has no flag --{}", of.name, flag.name));
        }
        if (!flag.value)
        {
            ++i;
            if (i == args.size())
            {
                return base::fail(base::result_code::usage,
                                  fmt::format("--{} needs a value", flag.name));
            }
            flag.value = args[i];
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), flag.value->c_str()).empty())
        {
            return base::fail(base::result_code::usage,
                              fmt::format("--{} can't be \"{}\"", flag.name, *flag.value));
        }
    }
    return parsed;
}

} // namespace gooseberrywood::cli::detail
