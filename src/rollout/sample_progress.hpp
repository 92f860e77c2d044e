#ifndef GOOSEBERRYWOOD_ROLLOUT_SAMPLE_PROGRESS_HPP
#define GOOSEBERRYWOOD_ROLLOUT_SAMPLE_PROGRESS_HPP

#include "base/time.hpp"
#include "rollout/stream_event.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Where a sample stands.
enum class sample_phase : std::uint8_t
{
    /// Waits for an upstream.
    waiting,
    /// An upstream generates its text.
    running,
    /// The text is complete; the reward call runs.
    scoring,
    /// The result waits to be stored.
    finished,
    /// The result is stored and shown to callers.
    listed,
};

/// \ingroup rollout
/// \brief Progress of one sample.
struct sample_progress
{
    sample_phase phase = sample_phase::waiting;
    std::string text;
    /// Number of events in the text.
    std::size_t events = 0;
    /// Id of the last event in the text.
    std::optional<std::int64_t> last_event_id;
    std::set<std::uint32_t> versions;
    /// The text is whole; only its score is missing.
    bool complete = false;
    /// Answers that count as failed attempts.
    std::uint32_t failed_runs = 0;
    std::uint32_t failed_rewards = 0;
    std::string score;
    /// The upstream that the last run left; the next run goes elsewhere if it can.
    std::string avoided_upstream;
    /// The next run may start from then on.
    base::mono_time not_before{};
};

/// \ingroup rollout
/// \brief Appends an event that was generated under a version of the weights.
/// \returns false when the event does not follow the last one; nothing is changed then.
[[nodiscard]] bool append_event(sample_progress& to, stream_event const& event,
                                std::uint32_t version);

/// \ingroup rollout
/// \brief Whether the sample has text that a next owner of its job can go on from.
[[nodiscard]] bool has_resumable_text(sample_progress const& of);

/// \ingroup rollout
/// \brief Discards the text, so that the next run starts at the beginning.
void discard_text(sample_progress& of);

} // namespace gooseberrywood::rollout

#endif
