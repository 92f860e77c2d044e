#include "config/announcements.hpp"

#include "config/timing.hpp"

#include <algorithm>

namespace gooseberrywood::config
{

announcements start_announcements(base::mono_time now)
{
    announcements made;
    made.remember_after = now + announcement_clear_age;
    return made;
}

void announced(announcements& of, wire::config_intent const& intent, std::uint64_t in_force_version,
               base::mono_time now)
{
    auto const same =
        std::find_if(of.pending.begin(), of.pending.end(),
                     [&](announcement const& at)
                     { return at.version == intent.version && at.announcer == intent.announcer; });
    if (intent.withdrawn)
    {
        if (same != of.pending.end())
        {
            of.pending.erase(same);
        }
        return;
    }
    if (intent.version <= in_force_version)
    {
        return;
    }
    auto const clear_after = now + announcement_clear_age;
    if (same != of.pending.end())
    {
        same->clear_after = clear_after;
        return;
    }
    if (of.pending.size() < max_announcements)
    {
        of.pending.push_back({intent.version, intent.announcer, clear_after});
        return;
    }
    // Too many: the last place stands for all of the rest, and nobody can withdraw it alone.
    auto& merged = of.pending.back();
    merged.version = std::max(merged.version, intent.version);
    merged.announcer.clear();
    merged.clear_after = clear_after;
}

void heard(announcements& of, peer_frame const& frame, std::uint64_t in_force_version)
{
    if (frame.sender != standing::fresh)
    {
        return;
    }
    // The sender's evidence is younger than the longest life of the announcement. If the version
    // had been accepted, the sender would have met it there.
    std::erase_if(of.pending, [&](announcement const& at)
                  { return at.version > frame.version && frame.sent_after >= at.clear_after; });
    if (frame.sent_after >= of.remember_after && in_force_version >= frame.version)
    {
        of.remembers = true;
    }
}

void version_changed(announcements& of, std::uint64_t in_force_version)
{
    std::erase_if(of.pending,
                  [&](announcement const& at) { return at.version <= in_force_version; });
}

std::uint64_t highest_announced(announcements const& of)
{
    std::uint64_t highest = 0;
    for (auto const& at : of.pending)
    {
        highest = std::max(highest, at.version);
    }
    return highest;
}

standing standing_of(announcements const& of)
{
    return of.remembers ? standing::witness : standing::none;
}

} // namespace gooseberrywood::config
