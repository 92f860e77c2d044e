#include "base/hash.hpp"

#include <sodium.h>

#include <array>
#include <cstring>

namespace gooseberrywood::base
{

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    std::array<unsigned char, crypto_shorthash_KEYBYTES> key{};
    std::memcpy(key.data(), &seed, sizeof seed);
    std::uint64_t value = 0;
    static_assert(sizeof value == crypto_shorthash_BYTES);
    crypto_shorthash(reinterpret_cast<unsigned char*>(&value),
                     reinterpret_cast<unsigned char const*>(text.data()), text.size(), key.data());
    return value;
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<unsigned char const*>(text.data()),
                       text.size());
    std::array<char, crypto_hash_sha256_BYTES * 2 + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return {hex.data(), hex.size() - 1};
}

} // namespace gooseberrywood::base
