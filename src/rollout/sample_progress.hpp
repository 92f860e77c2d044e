#ifndef GOOSEBERRYWOOD_ROLLOUT_SAMPLE_PROGRESS_HPP
#define GOOSEBERRYWOOD_ROLLOUT_SAMPLE_PROGRESS_HPP

#include "base/byte_budget.hpp"
#include "base/time.hpp"
#include "rollout/stream_event.hpp"
#include "rollout/text_origin.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Phase of the processing of a sample.
enum class sample_phase : std::uint8_t
{
    /// The sample waits for an upstream.
    waiting,
    /// An upstream generates the text.
    running,
    /// The text is complete, and the reward call is in progress.
    scoring,
    /// The result is final but not stored yet.
    finished,
    /// The result is stored and visible to callers.
    listed,
};

/// \ingroup rollout
/// \brief Progress of one sample.
struct sample_progress
{
    sample_phase phase = sample_phase::waiting;
    std::string text;
    /// Counts the bytes of the text; absent without text.
    std::shared_ptr<base::byte_share> text_share;
    /// Number of events in the text.
    std::size_t events = 0;
    /// Id of the last event in the text.
    std::optional<std::int64_t> last_event_id;
    /// What generated the text; absent without text.
    std::optional<text_origin> origin;
    /// Versions of the weights that generated an event of the text.
    std::set<std::uint32_t> versions;
    /// The text is complete; at most its score is missing.
    bool complete = false;
    /// Number of runs and of reward calls whose answers count as failed attempts.
    std::uint32_t failed_runs = 0;
    std::uint32_t failed_rewards = 0;
    std::string score;
    /// Upstream of the last run, if the run left it; the next run uses another one if possible.
    std::string avoided_upstream;
    /// Earliest start of the next run.
    base::mono_time not_before{};
};

/// \ingroup rollout
/// \brief Appends an event to the text of a sample.
/// \param version version of the weights that generated the event.
/// \param origin what generated the event.
/// \returns false, without a change, when the event has no id, or one that does not directly follow
/// the last one.
[[nodiscard]] bool append_event(sample_progress& progress, stream_event const& event,
                                std::uint32_t version, text_origin const& origin);

/// \ingroup rollout
/// \brief Whether the sample is unfinished and has text from which another owner of the job can
/// resume it.
[[nodiscard]] bool has_resumable_text(sample_progress const& progress);

/// \ingroup rollout
/// \brief Whether the sample is unfinished and has failed attempts, which the next owner of the job
/// must know, so that it does not count anew.
[[nodiscard]] bool has_failures_to_save(sample_progress const& progress);

/// \ingroup rollout
/// \brief Discards the generated text, so that the next run starts from the beginning.
void discard_text(sample_progress& progress);

} // namespace gooseberrywood::rollout

#endif
