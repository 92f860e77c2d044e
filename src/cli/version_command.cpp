#include "cli/commands.hpp"
#include "cli/version.hpp"

#include <fmt/format.h>

namespace gooseberrywood::cli
{

int version_command(std::span<char const* const> /*args*/)
{
    fmt::print("gooseberrywood {}\n", version);
    return 0;
}

} // namespace gooseberrywood::cli
