#ifndef GOOSEBERRYWOOD_BUNDLE_SIGNATURE_HPP
#define GOOSEBERRYWOOD_BUNDLE_SIGNATURE_HPP

#include "base/result.hpp"

#include <string>
#include <string_view>

namespace gooseberrywood::bundle
{

/// \ingroup bundle
/// \brief An Ed25519 key pair in hexadecimal digits.
struct key_pair
{
    /// 64 digits; goes into the settings of every process as `bundle_public_key`.
    std::string public_key;
    /// 128 digits; stays with the operators.
    std::string secret_key;
};

/// \brief Makes a random key pair.
[[nodiscard]] key_pair make_key_pair();

/// \brief Signs a bundle.
/// \param text the bundle's text, byte for byte.
/// \param secret_key 128 hexadecimal digits.
/// \returns the signature as 128 lower-case hexadecimal digits, or `usage` when the secret key is
/// malformed or its halves don't match.
[[nodiscard]] base::result<std::string> sign(std::string_view text, std::string_view secret_key);

/// \brief Whether a signature belongs to a text and a key. Malformed hexadecimal digits give false.
/// \param signature 128 hexadecimal digits.
/// \param public_key 64 hexadecimal digits.
[[nodiscard]] bool verify(std::string_view text, std::string_view signature,
                          std::string_view public_key);

} // namespace gooseberrywood::bundle

#endif
