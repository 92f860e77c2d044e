#ifndef GOOSEBERRYWOOD_ROLLOUT_SAVED_PROGRESS_HPP
#define GOOSEBERRYWOOD_ROLLOUT_SAVED_PROGRESS_HPP

#include "rollout/sample_progress.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Unfinished samples by id, as one owner of a job leaves them to the next.
using saved_progress = std::map<std::string, sample_progress>;

/// \ingroup rollout
[[nodiscard]] std::string encode_progress(saved_progress const& of);

/// \ingroup rollout
/// \returns nothing when the text is not saved progress.
[[nodiscard]] std::optional<saved_progress> decode_progress(std::string_view text);

} // namespace gooseberrywood::rollout

#endif
