#include "cli/bundle_file.hpp"
#include "cli/commands.hpp"
#include "cli/report.hpp"

#include <fmt/format.h>

namespace gooseberrywood::cli
{

int bundle_check_command(std::span<char const* const> args)
{
    auto const file = detail::read_bundle(args[0]);
    if (!file)
    {
        return report(file.error());
    }
    auto const& of = file->content;
    fmt::print(
        "{}: no faults; version {} of {}; domains: {}, teams: {}, routes: {}, trainers: {}\n",
        args[0], of.version, of.deployment, of.domains.size(), of.teams.size(), of.routes.size(),
        of.trainers.size());
    return 0;
}

} // namespace gooseberrywood::cli
