#include "rollout/sample_progress.hpp"

namespace gooseberrywood::rollout
{

bool append_event(sample_progress& progress, stream_event const& event, std::uint32_t version,
                  text_origin const& origin)
{
    bool const follows =
        event.id && (!progress.last_event_id || *event.id == *progress.last_event_id + 1);
    if (!follows)
    {
        return false;
    }
    if (progress.events > 0)
    {
        progress.text.push_back('\n');
    }
    progress.text.append(event.data);
    ++progress.events;
    progress.last_event_id = event.id;
    progress.versions.insert(version);
    progress.origin = origin;
    return true;
}

bool has_resumable_text(sample_progress const& progress)
{
    return progress.events > 0 && progress.phase < sample_phase::finished;
}

bool has_failures_to_save(sample_progress const& progress)
{
    return progress.phase < sample_phase::finished &&
           (progress.failed_runs > 0 || progress.failed_rewards > 0);
}

void discard_text(sample_progress& progress)
{
    progress.text = {};
    progress.text_share.reset();
    progress.events = 0;
    progress.last_event_id.reset();
    progress.origin.reset();
    progress.versions.clear();
    progress.complete = false;
}

} // namespace gooseberrywood::rollout
