#ifndef GOOSEBERRYWOOD_CLI_PROCESS_SETUP_HPP
#define GOOSEBERRYWOOD_CLI_PROCESS_SETUP_HPP

#include "base/result.hpp"
#include "bundle/bundle.hpp"
#include "settings/process_settings.hpp"

#include <gflags/gflags.h>

#include <optional>

DECLARE_string(settings);

namespace gooseberrywood::cli::detail
{

/// What `entry` and `agent` start from.
struct process_setup
{
    settings::process_settings settings;
    std::optional<bundle::bundle> bundle;
};

/// Reads the file named by --settings and the bundle file that it names, and sets the log level.
[[nodiscard]] base::result<process_setup> read_setup();

} // namespace gooseberrywood::cli::detail

#endif
