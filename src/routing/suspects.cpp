#include "routing/suspects.hpp"

#include <algorithm>

namespace gooseberrywood::routing
{

namespace
{

void drop_earliest(suspects& known)
{
    known.marks.erase(known.by_expiry.begin()->second);
    known.by_expiry.erase(known.by_expiry.begin());
}

suspect_mark const* valid_mark(suspects const& known, std::uint64_t fingerprint,
                               base::mono_time now)
{
    auto const found = known.marks.find(fingerprint);
    return found != known.marks.end() && now < found->second.expires_at ? &found->second : nullptr;
}

} // namespace

bool merge_suspect(suspects& known, std::uint64_t fingerprint,
                   std::span<std::uint64_t const> crash_ids, base::mono_time expires_at,
                   base::mono_time now)
{
    while (!known.by_expiry.empty() && known.by_expiry.begin()->first <= now)
    {
        drop_earliest(known);
    }
    expires_at = std::min(expires_at, now + suspect_lifetime);
    if (crash_ids.empty() || expires_at <= now)
    {
        return false;
    }
    auto& mark = known.marks[fingerprint];
    mark.fingerprint = fingerprint;
    bool added = false;
    for (auto const id : crash_ids)
    {
        if (mark.crash_ids.size() < crash_ids_max &&
            std::ranges::find(mark.crash_ids, id) == mark.crash_ids.end())
        {
            mark.crash_ids.push_back(id);
            added = true;
        }
    }
    if (expires_at > mark.expires_at)
    {
        known.by_expiry.erase({mark.expires_at, fingerprint});
        mark.expires_at = expires_at;
        known.by_expiry.emplace(expires_at, fingerprint);
    }
    if (known.marks.size() > suspects_max)
    {
        drop_earliest(known);
    }
    return added;
}

suspect_class classify(suspects const& known, std::uint64_t fingerprint, base::mono_time now)
{
    auto const* mark = valid_mark(known, fingerprint, now);
    if (mark == nullptr)
    {
        return suspect_class::clear;
    }
    return mark->crash_ids.size() < crash_ids_max ? suspect_class::suspect : suspect_class::refused;
}

std::vector<std::uint64_t> crash_ids(suspects const& known, std::uint64_t fingerprint,
                                     base::mono_time now)
{
    auto const* mark = valid_mark(known, fingerprint, now);
    return mark == nullptr ? std::vector<std::uint64_t>{} : mark->crash_ids;
}

std::vector<suspect_mark> valid_marks(suspects const& known, base::mono_time now)
{
    std::vector<suspect_mark> valid;
    for (auto const& [fingerprint, mark] : known.marks)
    {
        if (now < mark.expires_at)
        {
            valid.push_back(mark);
        }
    }
    return valid;
}

} // namespace gooseberrywood::routing
