#ifndef GOOSEBERRYWOOD_CLI_BUNDLE_FILE_HPP
#define GOOSEBERRYWOOD_CLI_BUNDLE_FILE_HPP

#include "base/result.hpp"
#include "bundle/bundle.hpp"

#include <string>

namespace gooseberrywood::cli::detail
{

/// A bundle and the text that it was read from.
struct bundle_file
{
    std::string text;
    bundle::bundle content;
};

/// \returns `not_found` or `io_error` when the file can't be read, else as `bundle::parse`.
[[nodiscard]] base::result<bundle_file> read_bundle(std::string const& path);

} // namespace gooseberrywood::cli::detail

#endif
