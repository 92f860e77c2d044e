#ifndef GOOSEBERRYWOOD_CLI_HPP
#define GOOSEBERRYWOOD_CLI_HPP

/// \defgroup cli cli
/// \brief The command line: dispatch of subcommands, help and errors.

#include "cli/command.hpp"
#include "cli/commands.hpp"
#include "cli/report.hpp"
#include "cli/run.hpp"
#include "cli/version.hpp"

#endif
