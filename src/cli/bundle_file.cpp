#include "cli/bundle_file.hpp"

#include "base/file.hpp"
#include "bundle/parse.hpp"

namespace gooseberrywood::cli::detail
{

base::result<bundle_file> read_bundle(std::string const& path)
{
    auto text = base::read_file(path);
    if (!text)
    {
        return tl::unexpected(text.error());
    }
    auto content = bundle::parse(*text, path);
    if (!content)
    {
        return tl::unexpected(content.error());
    }
    return bundle_file{std::move(*text), std::move(*content)};
}

} // namespace gooseberrywood::cli::detail
