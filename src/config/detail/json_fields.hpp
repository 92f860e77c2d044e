#ifndef GOOSEBERRYWOOD_CONFIG_DETAIL_JSON_FIELDS_HPP
#define GOOSEBERRYWOOD_CONFIG_DETAIL_JSON_FIELDS_HPP

#include "base/result.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::config::detail
{

/// Writes JSON; text that is not UTF-8 or a result above the limit is an error.
[[nodiscard]] base::result<std::string> dump(nlohmann::json const& from, std::size_t max_bytes);

/// Reads a JSON object. Objects that are nested deeper than any valid input are refused.
[[nodiscard]] base::result<nlohmann::json> parse_object(std::string_view text,
                                                        std::size_t max_bytes);

/// Each reads one field; false when it is missing or has another type.
[[nodiscard]] bool read(nlohmann::json const& from, char const* name, std::uint64_t& into);
[[nodiscard]] bool read(nlohmann::json const& from, char const* name, std::string& into);
[[nodiscard]] bool read(nlohmann::json const& from, char const* name,
                        std::vector<std::string>& into, std::size_t max_items);

} // namespace gooseberrywood::config::detail

#endif
