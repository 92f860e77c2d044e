#ifndef GOOSEBERRYWOOD_CLI_CHANGE_PLAN_HPP
#define GOOSEBERRYWOOD_CLI_CHANGE_PLAN_HPP

#include "config/apply_round.hpp"
#include "settings/process_settings.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywood::cli::detail
{

/// What an operator's command wants to do to the stored configuration.
struct change_plan
{
    settings::process_settings settings;
    config::change_function change;
    /// The version that the store must hold; without it any.
    std::optional<std::uint64_t> expected_version;
    /// Failure domains of the bundle that a first record would hold.
    std::vector<std::string> first_domains;
};

} // namespace gooseberrywood::cli::detail

#endif
