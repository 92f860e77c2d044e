#include "base/hash.hpp"
#include "base/toml_reader.hpp"
#include "cli/commands.hpp"
#include "cli/report.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sodium.h>

#include <array>

DEFINE_string(team, "", "name of the team that gets the key");

namespace gooseberrywood::cli
{

namespace
{

// 256 bits, the strength of the SHA-256 under which the bundle lists the key.
constexpr std::size_t key_bytes = 32;

std::string random_key()
{
    std::array<unsigned char, key_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    constexpr int variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
    std::array<char, sodium_base64_ENCODED_LEN(key_bytes, variant)> text{};
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), variant);
    // The prefix lets scanners for leaked secrets recognise a key.
    return fmt::format("gbw-{}", text.data());
}

} // namespace

int key_new_command(std::span<char const* const> /*args*/)
{
    if (!base::is_name(FLAGS_team))
    {
        return report({base::result_code::usage,
                       "key new needs --team with 1 to 64 letters, digits, dots, hyphens and "
                       "underscores"});
    }
    auto const key = random_key();
    fmt::print("{}\nkey_hashes = [\"{}\"] # team {}\n", key, base::sha256_hex(key), FLAGS_team);
    return 0;
}

} // namespace gooseberrywood::cli
