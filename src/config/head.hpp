#ifndef GOOSEBERRYWOOD_CONFIG_HEAD_HPP
#define GOOSEBERRYWOOD_CONFIG_HEAD_HPP

#include "base/result.hpp"
#include "config/record.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Limit of the delta inside a head. A larger change is read as a whole record.
inline constexpr std::size_t max_head_delta_bytes = 2'000;

/// \ingroup config
/// \brief The small value in the store that the CAS replaces; the record lies under a key of its
/// own that is written before and never changes.
///
/// Every entry reads the store once a second. Reading a record of 1 MB each time would be 200 times
/// what a process may spend on control.
struct head
{
    std::uint64_t version = 0;
    /// `record_hash` of the record, which is also part of its key.
    std::uint64_t hash = 0;
    /// The encoded delta from the version before; empty if it is too large.
    std::string delta;

    friend bool operator==(head const&, head const&) = default;
};

/// \brief The head for a record that replaces another.
[[nodiscard]] head make_head(record const& from, record const& to);

/// \brief The key of a record in the store.
[[nodiscard]] std::string record_key(head const& of);

/// \brief The form in which the store holds a head (JSON).
[[nodiscard]] base::result<std::string> encode(head const& from);

/// \brief Reads the form written by `encode`; `bundle_invalid` when it is malformed.
[[nodiscard]] base::result<head> decode_head(std::string_view text);

} // namespace gooseberrywood::config

#endif
