#ifndef GOOSEBERRYWOOD_CLI_RECORD_CHANGES_HPP
#define GOOSEBERRYWOOD_CLI_RECORD_CHANGES_HPP

#include "base/result.hpp"
#include "bundle/bundle.hpp"
#include "config/record.hpp"

#include <string>
#include <string_view>

namespace gooseberrywood::cli::detail
{

/// A bundle with its text and signature, both checked.
struct checked_bundle
{
    std::string text;
    std::string signature;
    bundle::bundle content;
};

/// Puts a bundle into a record. Failure domains that are out stay out if the bundle has them.
/// \returns `version_too_old` when the record holds a newer bundle, or another one with the same
/// version; `bundle_invalid` when it is of another deployment.
[[nodiscard]] base::result<config::record> with_bundle(config::record const& current,
                                                       checked_bundle const& wanted);

/// Takes a failure domain out. Nothing changes if it is out already.
/// \param force allow it for the last domain that is in.
/// \returns `not_found` when the bundle does not have the domain, `usage` for the last one.
[[nodiscard]] base::result<config::record> with_domain_out(config::record const& current,
                                                           std::string_view domain, bool force);

/// Takes a failure domain in. Nothing changes if it is in already.
/// \returns `not_found` when the bundle does not have the domain.
[[nodiscard]] base::result<config::record> with_domain_in(config::record const& current,
                                                          std::string_view domain);

} // namespace gooseberrywood::cli::detail

#endif
