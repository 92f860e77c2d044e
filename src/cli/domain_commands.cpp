#include "cli/commands.hpp"
#include "cli/operator_setup.hpp"
#include "cli/record_changes.hpp"
#include "cli/report.hpp"
#include "cli/run_change.hpp"

#include <gflags/gflags.h>

#include <string>
#include <utility>

DEFINE_bool(force, false, "take out also the last failure domain that is in");

namespace gooseberrywood::cli
{

namespace
{

int change(config::change_function how)
{
    auto setup = detail::read_operator_setup();
    if (!setup)
    {
        return report(setup.error());
    }
    return detail::run_change(
        {std::move(setup->settings), std::move(how), setup->expected_version, {}});
}

} // namespace

int domain_out_command(std::span<char const* const> args)
{
    return change(
        [domain = std::string(args[0]), force = FLAGS_force](config::record const& current)
        { return detail::with_domain_out(current, domain, force); });
}

int domain_in_command(std::span<char const* const> args)
{
    return change([domain = std::string(args[0])](config::record const& current)
                  { return detail::with_domain_in(current, domain); });
}

} // namespace gooseberrywood::cli
