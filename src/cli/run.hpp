#ifndef GOOSEBERRYWOOD_CLI_RUN_HPP
#define GOOSEBERRYWOOD_CLI_RUN_HPP

namespace gooseberrywood::cli
{

/// \ingroup cli
/// \brief Runs the subcommand that the arguments name.
/// \param argc, argv as of `main`.
/// \returns the exit code of the process; see docs/result-codes.md.
[[nodiscard]] int run(int argc, char const* const* argv);

} // namespace gooseberrywood::cli

#endif
