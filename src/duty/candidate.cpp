#include "duty/candidate.hpp"

#include <algorithm>

namespace gooseberrywood::duty
{

namespace
{

// Covers calls that were sent just before the key was lost and arrive later.
constexpr base::duration turn_margin = std::chrono::milliseconds(500);

} // namespace

std::optional<authority> active_authority(candidate const& candidate,
                                          base::mono_time lease_deadline, base::mono_time now)
{
    return now < lease_deadline ? candidate.held : std::nullopt;
}

bool should_campaign(candidate const& candidate, bool key_exists, base::mono_time lease_deadline,
                     base::mono_time now)
{
    return !candidate.held && !candidate.busy && !key_exists && now >= candidate.not_before &&
           now < lease_deadline;
}

void note_leadership_lost(candidate& candidate, base::duration turn, base::mono_time now)
{
    if (candidate.held)
    {
        candidate.not_before = std::max(candidate.not_before, now + turn + turn_margin);
    }
    candidate.held.reset();
}

} // namespace gooseberrywood::duty
