#include "admission/suspect_marks.hpp"

#include <algorithm>

namespace gooseberrywood::admission
{

namespace
{

/// Maximum number of crash ids per fingerprint; any number from two on has the same effect.
constexpr std::size_t max_crash_ids_per_mark = 8;

void sort_unique(std::vector<std::uint64_t>& values)
{
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

} // namespace

void add(suspect_marks& marks, std::uint64_t fingerprint, std::span<std::uint64_t const> crash_ids,
         base::mono_time expires_at, base::mono_time now)
{
    if (fingerprint == 0 || expires_at <= now)
    {
        return;
    }
    if (marks.by_fingerprint.size() >= marks.max_marks)
    {
        std::erase_if(marks.by_fingerprint,
                      [&](auto const& mark) { return mark.second.expires_at <= now; });
        if (marks.by_fingerprint.size() >= marks.max_marks &&
            !marks.by_fingerprint.contains(fingerprint))
        {
            return;
        }
    }
    auto& mark = marks.by_fingerprint[fingerprint];
    if (mark.expires_at <= now)
    {
        mark.crash_ids.clear();
    }
    mark.crash_ids.insert(mark.crash_ids.end(), crash_ids.begin(), crash_ids.end());
    sort_unique(mark.crash_ids);
    mark.crash_ids.resize(std::min(mark.crash_ids.size(), max_crash_ids_per_mark));
    mark.expires_at = std::max(mark.expires_at, expires_at);
}

void merge_crash_ids(suspect_marks const& marks, std::uint64_t fingerprint,
                     std::vector<std::uint64_t>& crash_ids, base::mono_time now)
{
    auto const found = marks.by_fingerprint.find(fingerprint);
    if (found != marks.by_fingerprint.end() && found->second.expires_at > now)
    {
        auto const& known = found->second.crash_ids;
        crash_ids.insert(crash_ids.end(), known.begin(), known.end());
    }
    sort_unique(crash_ids);
}

} // namespace gooseberrywood::admission
