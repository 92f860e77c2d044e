#ifndef GOOSEBERRYWOOD_CONFIG_RECORD_HPP
#define GOOSEBERRYWOOD_CONFIG_RECORD_HPP

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Limit of an encoded record: the store takes values of up to 1 MB.
inline constexpr std::size_t max_record_bytes = 1'000'000;

/// \ingroup config
/// \brief Limit of domains that are out, far above the domains of any deployment.
inline constexpr std::size_t max_domains_out = 1'000;

/// \ingroup config
/// \brief What the store holds.
struct record
{
    /// Rises with each write; 0 means no record.
    std::uint64_t version = 0;
    std::string bundle_text;
    /// Covers the bundle text only, as a printable text. Taking a domain out keeps it.
    std::string bundle_signature;
    std::vector<std::string> domains_out;

    friend bool operator==(record const&, record const&) = default;
};

/// \brief The form in which the store, the data folder and frames hold a record (JSON).
/// \returns `bundle_invalid` for text that is not UTF-8, or a record above `max_record_bytes`.
[[nodiscard]] base::result<std::string> encode(record const& from);

/// \brief Reads the form written by `encode`.
/// \returns `bundle_invalid` when the text is malformed, too long or has the version 0.
[[nodiscard]] base::result<record> decode_record(std::string_view text);

/// \brief Hash of all fields, equal in all processes. It finds mistakes; only the signature
/// protects against an attacker.
[[nodiscard]] std::uint64_t record_hash(record const& of);

} // namespace gooseberrywood::config

#endif
