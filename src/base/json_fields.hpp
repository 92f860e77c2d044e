#ifndef GOOSEBERRYWOOD_BASE_JSON_FIELDS_HPP
#define GOOSEBERRYWOOD_BASE_JSON_FIELDS_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Objects whose values are nested deeper are not read: a parsed value takes many times the
/// memory of a bracket, and copying or writing it takes stack for each level.
inline constexpr std::size_t max_json_depth = 100;

/// \ingroup base
/// \brief Parses a JSON object; nothing when the text is anything else or nested too deeply.
[[nodiscard]] std::optional<nlohmann::json> parse_object(std::string_view text);

/// \ingroup base
/// \brief Upper bound of the number of values and keys in a JSON text, counted without parsing it.
[[nodiscard]] std::size_t max_json_values(std::string_view text);

/// \ingroup base
/// \brief Each reads one field; nothing when it is missing or has another type.
[[nodiscard]] std::optional<std::string> read_text(nlohmann::json const& from, char const* name);
/// \param max a larger number counts as missing.
[[nodiscard]] std::optional<std::uint64_t>
read_unsigned(nlohmann::json const& from, char const* name,
              std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
[[nodiscard]] std::optional<double> read_number(nlohmann::json const& from, char const* name);
[[nodiscard]] std::optional<bool> read_flag(nlohmann::json const& from, char const* name);
/// \ingroup base
/// \brief A field that holds an array, or null.
[[nodiscard]] nlohmann::json const* read_list(nlohmann::json const& from, char const* name);

/// \ingroup base
/// \brief Standard base64 with padding.
[[nodiscard]] std::string to_base64(std::string_view bytes);
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace gooseberrywood::base

#endif
