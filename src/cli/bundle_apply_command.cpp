#include "base/file.hpp"
#include "bundle/signature.hpp"
#include "cli/bundle_file.hpp"
#include "cli/commands.hpp"
#include "cli/operator_setup.hpp"
#include "cli/record_changes.hpp"
#include "cli/report.hpp"
#include "cli/run_change.hpp"

#include <fmt/format.h>

#include <utility>

namespace gooseberrywood::cli
{

namespace
{

base::result<detail::checked_bundle> read_signed(std::string const& path,
                                                 std::string_view public_key)
{
    auto file = detail::read_bundle(path);
    if (!file)
    {
        return tl::unexpected(file.error());
    }
    auto const signature_path = fmt::format("{}.sig", path);
    auto signature = base::read_file(signature_path);
    if (!signature)
    {
        return tl::unexpected(signature.error());
    }
    // The line end of the file is not part of the signature.
    signature->resize(std::min(signature->size(), signature->find_first_of("\r\n")));
    if (!bundle::verify(file->text, *signature, public_key))
    {
        return base::fail(
            base::result_code::signature_invalid,
            fmt::format("{}: does not belong to {} and bundle_public_key", signature_path, path));
    }
    return detail::checked_bundle{std::move(file->text), std::move(*signature),
                                  std::move(file->content)};
}

} // namespace

int bundle_apply_command(std::span<char const* const> args)
{
    auto setup = detail::read_operator_setup();
    if (!setup)
    {
        return report(setup.error());
    }
    auto wanted = read_signed(args[0], setup->settings.bundle_public_key);
    if (!wanted)
    {
        return report(wanted.error());
    }
    auto const domains = wanted->content.domains;
    return detail::run_change({std::move(setup->settings),
                               [wanted = std::move(*wanted)](config::record const& current)
                               { return detail::with_bundle(current, wanted); },
                               setup->expected_version, domains});
}

} // namespace gooseberrywood::cli
