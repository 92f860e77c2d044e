#ifndef GOOSEBERRYWOOD_BASE_HASH_HPP
#define GOOSEBERRYWOOD_BASE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief SipHash-2-4 of a text, equal in all processes. Not a secret: don't use it for keys.
/// \param text the bytes to hash.
/// \param seed selects one of many independent functions.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// \ingroup base
/// \brief SHA-256 as 64 lower-case hexadecimal digits; the form in which a bundle names a key.
[[nodiscard]] std::string sha256_hex(std::string_view text);

} // namespace gooseberrywood::base

#endif
