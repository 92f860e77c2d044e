#ifndef GOOSEBERRYWOOD_CONFIG_DELTA_HPP
#define GOOSEBERRYWOOD_CONFIG_DELTA_HPP

#include "base/result.hpp"
#include "config/edit.hpp"
#include "config/record.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Turns one record into a later one. Whole records can't be sent for each change: 32,000
/// changes a day of 1 MB are 370 KB/s, and a process has 5 KB/s.
struct delta
{
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    /// `record_hash` of the record before and after.
    std::uint64_t from_hash = 0;
    std::uint64_t to_hash = 0;
    std::string bundle_signature;
    std::vector<std::string> domains_out;
    /// The new bundle text, in order.
    std::vector<edit> edits;

    friend bool operator==(delta const&, delta const&) = default;
};

/// \brief The difference between two records, by whole lines of the bundle text.
[[nodiscard]] delta make_delta(record const& from, record const& to);

/// \brief Applies a delta and checks the hash of the result.
/// \param from the record in effect.
/// \param from_hash its `record_hash`, kept by the caller since hashing 1 MB takes long.
/// \returns `version_conflict` when the delta starts from another record, `bundle_invalid` when it
/// is malformed or the result has another hash. The caller then asks for the whole record.
[[nodiscard]] base::result<record> apply(record const& from, std::uint64_t from_hash,
                                         delta const& change);

/// \brief The form in which frames hold a delta (JSON).
/// \returns `bundle_invalid` for text that is not UTF-8, or a delta above `max_record_bytes`.
[[nodiscard]] base::result<std::string> encode(delta const& from);

/// \brief Reads the form written by `encode`.
[[nodiscard]] base::result<delta> decode_delta(std::string_view text);

/// \brief Reads the content of a `config_content` frame, which holds a record or a delta.
[[nodiscard]] base::result<std::variant<record, delta>> decode_update(std::string_view text);

} // namespace gooseberrywood::config

#endif
