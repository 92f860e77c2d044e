#include "cli/operator_setup.hpp"

#include "base/log.hpp"
#include "settings/load.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_string(settings);
DEFINE_int64(expect, -1,
             "version that the store must hold, else nothing is written; 0: no configuration yet; "
             "-1: any");

namespace gooseberrywood::cli::detail
{

base::result<operator_setup> read_operator_setup()
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
    if (settings->platform_url.empty())
    {
        return base::fail(base::result_code::settings_invalid,
                          fmt::format("{}: platform_url: is missing", FLAGS_settings));
    }
    // Progress is printed for people; of the log only what is wrong is of use beside it.
    base::set_log_level(base::log_level::warning);
    operator_setup made{std::move(*settings), std::nullopt};
    if (FLAGS_expect >= 0)
    {
        made.expected_version = static_cast<std::uint64_t>(FLAGS_expect);
    }
    return made;
}

} // namespace gooseberrywood::cli::detail
