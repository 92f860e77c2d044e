#include "duty/candidate.hpp"

#include <algorithm>

namespace gooseberrywood::duty
{

namespace
{

// Covers what was sent just before the key was lost and arrives later.
constexpr base::duration turn_margin = std::chrono::milliseconds(500);

} // namespace

std::optional<authority> active_authority(candidate const& of, base::mono_time lease_deadline,
                                          base::mono_time now)
{
    return now < lease_deadline ? of.held : std::nullopt;
}

bool should_campaign(candidate const& of, bool key_exists, base::mono_time lease_deadline,
                     base::mono_time now)
{
    return !of.held && !of.busy && !key_exists && now >= of.not_before && now < lease_deadline;
}

void note_leadership_lost(candidate& of, base::duration turn, base::mono_time now)
{
    if (of.held)
    {
        of.not_before = std::max(of.not_before, now + turn + turn_margin);
    }
    of.held.reset();
}

} // namespace gooseberrywood::duty
