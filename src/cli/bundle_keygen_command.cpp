#include "base/file.hpp"
#include "bundle/signature.hpp"
#include "cli/commands.hpp"
#include "cli/flags.hpp"
#include "cli/report.hpp"

#include <fmt/format.h>

namespace gooseberrywood::cli
{

int bundle_keygen_command(std::span<char const* const> /*args*/)
{
    auto const keys = bundle::make_key_pair();
    if (FLAGS_secret_key_file.empty())
    {
        fmt::print("public_key {}\nsecret_key {}\n", keys.public_key, keys.secret_key);
        return 0;
    }
    // An existing file is not overwritten: it may hold the only copy of a secret key in use.
    if (auto const failure =
            base::create_private_file(FLAGS_secret_key_file, keys.secret_key + "\n"))
    {
        return report(*failure);
    }
    fmt::print("public_key {}\n", keys.public_key);
    return 0;
}

} // namespace gooseberrywood::cli
