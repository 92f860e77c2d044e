#ifndef GOOSEBERRYWOOD_CONFIG_SIGNED_BUNDLE_HPP
#define GOOSEBERRYWOOD_CONFIG_SIGNED_BUNDLE_HPP

#include "base/result.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What this module needs to know from a bundle's text.
struct signed_bundle
{
    /// The version that the text states. A record's own version is not signed; this one keeps a
    /// recorded older bundle from being sent again under a new record version.
    std::uint64_t version = 0;
    /// The failure domains of the deployment.
    std::vector<std::string> domains;

    friend bool operator==(signed_bundle const&, signed_bundle const&) = default;
};

/// \ingroup config
/// \brief Checks the signature of a bundle's text and reads the text.
using verify_function = std::function<base::result<signed_bundle>(std::string_view bundle_text,
                                                                  std::string_view signature)>;

} // namespace gooseberrywood::config

#endif
