#ifndef GOOSEBERRYWOOD_CLI_REPORT_HPP
#define GOOSEBERRYWOOD_CLI_REPORT_HPP

#include "base/error.hpp"

namespace gooseberrywood::cli
{

/// \ingroup cli
/// \brief Writes an error to standard error, each line of its message as
/// `gooseberrywood: message`.
/// \returns the exit code that belongs to the error's code.
[[nodiscard]] int report(base::error const& failure);

} // namespace gooseberrywood::cli

#endif
