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
/// \brief Progress of the unfinished samples of a job, by sample id. An owner stores it so that the
/// next owner of the job can resume the samples.
using saved_progress = std::map<std::string, sample_progress>;

/// \ingroup rollout
/// \brief Encodes saved progress as JSON for the store. The phase, the score and the scheduling of
/// the next run are not saved.
[[nodiscard]] std::string encode_progress(saved_progress const& progress);

/// \ingroup rollout
/// \brief Decodes saved progress. All samples are in the phase `waiting`.
/// \returns nothing when the text is not valid saved progress.
[[nodiscard]] std::optional<saved_progress> decode_progress(std::string_view text);

} // namespace gooseberrywood::rollout

#endif
