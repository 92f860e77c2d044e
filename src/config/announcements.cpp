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

void announced(announcements& of, intent const& said, std::uint64_t in_force_version,
               base::mono_time now)
{
    auto const same =
        std::find_if(of.pending.begin(), of.pending.end(),
                     [&](announcement const& at)
                     { return at.made.what == said.what && at.made.announcer == said.announcer; });
    if (said.withdrawn)
    {
        if (same != of.pending.end())
        {
            of.pending.erase(same);
        }
        return;
    }
    if (said.what.version <= in_force_version)
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
        of.pending.push_back({said, clear_after});
        return;
    }
    // Too many: the last place stands for all of the rest, and nobody can withdraw it alone.
    auto& merged = of.pending.back();
    auto const highest = std::max(merged.made.what.version, said.what.version);
    merged = {{{highest, 0}, {}, false, {}}, clear_after};
}

void heard(announcements& of, peer_frame const& frame, std::uint64_t in_force_version)
{
    if (frame.sender != standing::fresh)
    {
        return;
    }
    // The sender's evidence is younger than the longest life of the announcement. If the version
    // had been accepted, the sender would have met it there.
    std::erase_if(
        of.pending, [&](announcement const& at)
        { return at.made.what.version > frame.version && frame.sent_after >= at.clear_after; });
    if (frame.sent_after >= of.remember_after && in_force_version >= frame.version)
    {
        of.remembers = true;
    }
}

void version_changed(announcements& of, std::uint64_t in_force_version)
{
    std::erase_if(of.pending,
                  [&](announcement const& at) { return at.made.what.version <= in_force_version; });
}

std::vector<named_change> named(announcements const& of)
{
    std::vector<named_change> names;
    for (auto const& at : of.pending)
    {
        names.push_back(at.made.what);
    }
    return names;
}

intent const* find(announcements const& of, named_change const& what)
{
    auto const found = std::find_if(of.pending.begin(), of.pending.end(),
                                    [&](announcement const& at) { return at.made.what == what; });
    return found == of.pending.end() ? nullptr : &found->made;
}

standing standing_of(announcements const& of)
{
    return of.remembers ? standing::witness : standing::none;
}

} // namespace gooseberrywood::config
