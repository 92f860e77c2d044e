#ifndef GOOSEBERRYWOOD_BUNDLE_PARSE_HPP
#define GOOSEBERRYWOOD_BUNDLE_PARSE_HPP

#include "base/result.hpp"
#include "bundle/bundle.hpp"

#include <string_view>

namespace gooseberrywood::bundle
{

/// \ingroup bundle
/// \brief Reads and checks a bundle.
/// \param text TOML.
/// \param file name for messages.
/// \returns `bundle_invalid` with all faults, each as `file:line: key: what is wrong`.
[[nodiscard]] base::result<bundle> parse(std::string_view text, std::string_view file);

} // namespace gooseberrywood::bundle

#endif
