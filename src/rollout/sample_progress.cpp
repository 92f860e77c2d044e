#include "rollout/sample_progress.hpp"

namespace gooseberrywood::rollout
{

bool append_event(sample_progress& to, stream_event const& event, std::uint32_t version)
{
    if (to.last_event_id && event.id != *to.last_event_id + 1)
    {
        return false;
    }
    if (to.events > 0)
    {
        to.text.push_back('\n');
    }
    to.text.append(event.data);
    ++to.events;
    to.last_event_id = event.id;
    to.versions.insert(version);
    return true;
}

bool has_resumable_text(sample_progress const& of)
{
    return of.events > 0 && of.phase < sample_phase::finished;
}

void discard_text(sample_progress& of)
{
    of.text.clear();
    of.events = 0;
    of.last_event_id.reset();
    of.versions.clear();
    of.complete = false;
}

} // namespace gooseberrywood::rollout
