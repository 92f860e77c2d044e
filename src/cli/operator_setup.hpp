#ifndef GOOSEBERRYWOOD_CLI_OPERATOR_SETUP_HPP
#define GOOSEBERRYWOOD_CLI_OPERATOR_SETUP_HPP

#include "base/result.hpp"
#include "settings/process_settings.hpp"

#include <cstdint>
#include <optional>

namespace gooseberrywood::cli::detail
{

/// What the operators' commands take from their flags.
struct operator_setup
{
    settings::process_settings settings;
    std::optional<std::uint64_t> expected_version;
};

/// Reads the file named by --settings, which must name the platform and the operators' public key.
[[nodiscard]] base::result<operator_setup> read_operator_setup();

} // namespace gooseberrywood::cli::detail

#endif
