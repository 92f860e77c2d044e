#include "cli/commands.hpp"
#include "cli/report.hpp"
#include "gateway/gateway.hpp"
#include "settings/load_gateway.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <string>

DECLARE_string(settings);

namespace gooseberrywood::cli
{

namespace
{

/// The flag, or where the platform says that it has put the file.
std::string settings_file()
{
    if (!FLAGS_settings.empty())
    {
        return FLAGS_settings;
    }
    char const* const path = std::getenv("GOOSEBERRYWOOD_CONFIG");
    return path != nullptr ? path : "";
}

} // namespace

int gateway_command(std::span<char const* const> /*args*/)
{
    auto const file = settings_file();
    if (file.empty())
    {
        return report({base::result_code::usage,
                       "--settings FILE is missing and GOOSEBERRYWOOD_CONFIG is not set"});
    }
    auto settings = settings::load_gateway(file);
    if (!settings)
    {
        return report(settings.error());
    }
    auto const made = gateway::make_gateway(std::move(*settings));
    if (!made)
    {
        return report(made.error());
    }
    gateway::run(**made);
    return 0;
}

} // namespace gooseberrywood::cli
