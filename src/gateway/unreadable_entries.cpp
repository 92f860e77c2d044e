#include "gateway/unreadable_entries.hpp"

#include "base/log.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gooseberrywood::gateway
{

namespace
{

constexpr base::duration log_pause = std::chrono::seconds(10);

// Further unreadable entries of one list are not logged.
constexpr std::size_t max_logged_entries = 50;

} // namespace

std::vector<platform::unreadable_entry>
note_unreadable(unreadable_entries& known, std::span<platform::unreadable_entry const> found,
                base::mono_time now)
{
    std::vector<platform::unreadable_entry> due;
    unreadable_entries next;
    for (auto const& entry : found.first(std::min(found.size(), max_logged_entries)))
    {
        auto const it = known.logged.find(entry.key);
        auto noted = it != known.logged.end() ? it->second : unreadable_entries::logged_entry{};
        bool const has_changed = it == known.logged.end() || noted.revision != entry.revision;
        if (has_changed && now >= noted.next_log_at)
        {
            noted = {entry.revision, now + log_pause};
            due.push_back(entry);
        }
        next.logged[entry.key] = noted;
    }
    known = std::move(next);
    return due;
}

void log_unreadable(unreadable_entries& known, std::span<platform::unreadable_entry const> found,
                    base::mono_time now)
{
    for (auto const& entry : note_unreadable(known, found, now))
    {
        base::log_line(base::log_level::warning, "unreadable_store_entry",
                       {{"key", entry.key},
                        {"revision", static_cast<std::int64_t>(entry.revision)},
                        {"reason", entry.reason}});
    }
}

} // namespace gooseberrywood::gateway
