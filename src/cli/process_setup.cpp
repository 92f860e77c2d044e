#include "cli/process_setup.hpp"

#include "base/log.hpp"
#include "cli/bundle_file.hpp"
#include "settings/load.hpp"

#include <array>
#include <utility>

DEFINE_string(settings, "", "settings file of the process, TOML");

namespace gooseberrywood::cli::detail
{

namespace
{

base::log_level level_of(std::string_view name)
{
    constexpr std::array<std::pair<std::string_view, base::log_level>, 4> levels = {{
        {"debug", base::log_level::debug},
        {"info", base::log_level::info},
        {"warning", base::log_level::warning},
        {"error", base::log_level::error},
    }};
    for (auto const& [level_name, level] : levels)
    {
        if (level_name == name)
        {
            return level;
        }
    }
    return base::log_level::info;
}

} // namespace

base::result<process_setup> read_setup()
{
    if (FLAGS_settings.empty())
    {
        return base::fail(base::result_code::usage, "--settings FILE is missing");
    }
    auto settings = settings::load(FLAGS_settings);
    if (!settings)
    {
        return tl::unexpected(settings.error());
    }
    base::set_log_level(level_of(settings->log_level));
    if (settings->bundle_file.empty())
    {
        return process_setup{std::move(*settings), std::nullopt};
    }
    auto file = read_bundle(settings->bundle_file);
    if (!file)
    {
        return tl::unexpected(file.error());
    }
    return process_setup{std::move(*settings), std::move(file->content)};
}

} // namespace gooseberrywood::cli::detail
