#ifndef GOOSEBERRYWOOD_COMPLETION_PARSE_BODY_HPP
#define GOOSEBERRYWOOD_COMPLETION_PARSE_BODY_HPP

#include "base/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace gooseberrywood::completion
{

/// \ingroup completion
/// \brief Maximum nesting depth of a request body. Serializing JSON recurses once per level, so a
/// body of 1 MiB of opening brackets would exhaust the stack; real requests have fewer than ten
/// levels.
inline constexpr int max_body_depth = 64;

/// \ingroup completion
/// \brief Parses the body of a completion request.
/// \returns `bad_request` if `text` is not a JSON object or is nested deeper than `max_body_depth`.
[[nodiscard]] base::result<nlohmann::json> parse_body(std::string_view text);

} // namespace gooseberrywood::completion

#endif
