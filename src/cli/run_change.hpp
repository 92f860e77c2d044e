#ifndef GOOSEBERRYWOOD_CLI_RUN_CHANGE_HPP
#define GOOSEBERRYWOOD_CLI_RUN_CHANGE_HPP

#include "cli/change_plan.hpp"

namespace gooseberrywood::cli::detail
{

/// Changes the stored configuration, waits until it is in effect, and prints progress and outcome.
/// \returns the exit code.
[[nodiscard]] int run_change(change_plan plan);

} // namespace gooseberrywood::cli::detail

#endif
