#include "bundle/signature.hpp"

#include <sodium.h>

#include <array>
#include <optional>

namespace gooseberrywood::bundle
{

namespace
{

unsigned char const* bytes_of(std::string_view text)
{
    return reinterpret_cast<unsigned char const*>(text.data());
}

template <std::size_t Size>
std::string to_hex(std::array<unsigned char, Size> const& bytes)
{
    std::array<char, Size * 2 + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    return {hex.data(), hex.size() - 1};
}

template <std::size_t Size>
std::optional<std::array<unsigned char, Size>> from_hex(std::string_view hex)
{
    std::array<unsigned char, Size> bytes{};
    std::size_t length = 0;
    char const* end = nullptr;
    bool const valid = hex.size() == Size * 2 &&
                       sodium_hex2bin(bytes.data(), bytes.size(), hex.data(), hex.size(), nullptr,
                                      &length, &end) == 0 &&
                       length == Size && end == hex.data() + hex.size();
    return valid ? std::optional{bytes} : std::nullopt;
}

} // namespace

key_pair make_key_pair()
{
    std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> public_key{};
    std::array<unsigned char, crypto_sign_SECRETKEYBYTES> secret_key{};
    crypto_sign_keypair(public_key.data(), secret_key.data());
    return {to_hex(public_key), to_hex(secret_key)};
}

base::result<std::string> sign(std::string_view text, std::string_view secret_key)
{
    auto const read = from_hex<crypto_sign_SECRETKEYBYTES>(secret_key);
    if (!read)
    {
        return base::fail(base::result_code::usage,
                          "the secret key must be 128 hexadecimal digits");
    }
    // The second half of a secret key is its public key. A signature made with two halves that
    // don't belong together would reveal the first half, so that the key is built anew from its
    // seed.
    std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> public_key{};
    std::array<unsigned char, crypto_sign_SECRETKEYBYTES> rebuilt{};
    crypto_sign_seed_keypair(public_key.data(), rebuilt.data(), read->data());
    if (rebuilt != *read)
    {
        return base::fail(base::result_code::usage, "the two halves of the secret key don't match");
    }
    std::array<unsigned char, crypto_sign_BYTES> signature{};
    crypto_sign_detached(signature.data(), nullptr, bytes_of(text), text.size(), read->data());
    return to_hex(signature);
}

bool verify(std::string_view text, std::string_view signature, std::string_view public_key)
{
    auto const signature_bytes = from_hex<crypto_sign_BYTES>(signature);
    auto const key_bytes = from_hex<crypto_sign_PUBLICKEYBYTES>(public_key);
    return signature_bytes && key_bytes &&
           crypto_sign_verify_detached(signature_bytes->data(), bytes_of(text), text.size(),
                                       key_bytes->data()) == 0;
}

} // namespace gooseberrywood::bundle
