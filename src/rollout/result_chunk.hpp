#ifndef GOOSEBERRYWOOD_ROLLOUT_RESULT_CHUNK_HPP
#define GOOSEBERRYWOOD_ROLLOUT_RESULT_CHUNK_HPP

#include "rollout/sample_result.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Encodes results that are stored together in one entry, as JSON.
[[nodiscard]] std::string encode_results(std::span<sample_result const> results);

/// \ingroup rollout
/// \brief Decodes the results of one stored entry.
/// \returns nothing when the text is not a valid list of results.
[[nodiscard]] std::optional<std::vector<sample_result>> decode_results(std::string_view text);

} // namespace gooseberrywood::rollout

#endif
