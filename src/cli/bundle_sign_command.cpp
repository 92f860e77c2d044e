#include "base/file.hpp"
#include "bundle/signature.hpp"
#include "cli/bundle_file.hpp"
#include "cli/commands.hpp"
#include "cli/flags.hpp"
#include "cli/report.hpp"

#include <fmt/format.h>

namespace gooseberrywood::cli
{

int bundle_sign_command(std::span<char const* const> args)
{
    if (FLAGS_secret_key_file.empty())
    {
        return report({base::result_code::usage, "bundle sign needs --secret_key_file"});
    }
    auto const file = detail::read_bundle(args[0]);
    if (!file)
    {
        return report(file.error());
    }
    auto const secret_key = base::read_file(FLAGS_secret_key_file);
    if (!secret_key)
    {
        return report(secret_key.error());
    }
    // The line end of the file is not part of the key.
    auto const signature = bundle::sign(
        file->text, std::string_view(*secret_key).substr(0, secret_key->find_first_of("\r\n")));
    if (!signature)
    {
        return report({signature.error().code,
                       fmt::format("{}: {}", FLAGS_secret_key_file, signature.error().message)});
    }
    auto const path = fmt::format("{}.sig", args[0]);
    if (auto const failure = base::replace_file(path, *signature + "\n"))
    {
        return report(*failure);
    }
    fmt::print("{}: signature of version {}\n", path, file->content.version);
    return 0;
}

} // namespace gooseberrywood::cli
