#ifndef GOOSEBERRYWOOD_GATEWAY_UNREADABLE_ENTRIES_HPP
#define GOOSEBERRYWOOD_GATEWAY_UNREADABLE_ENTRIES_HPP

#include "base/time.hpp"
#include "platform/unreadable_entry.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Unreadable entries of one list that were logged, so that each change is logged once.
struct unreadable_entries
{
    struct logged_entry
    {
        std::uint64_t revision = 0;
        /// A change of the entry is not logged before this time.
        base::mono_time next_log_at{};
    };

    /// By key.
    std::map<std::string, logged_entry, std::less<>> logged;
};

/// \ingroup gateway
/// \brief Chooses the entries to log after a read of the list, and records them as logged. Entries
/// that are no longer among the unreadable ones are forgotten.
/// \param found all unreadable entries of the list.
/// \returns new and changed entries, but each key at most once in ten seconds, and of a list with
/// very many of them only the first ones.
[[nodiscard]] std::vector<platform::unreadable_entry>
note_unreadable(unreadable_entries& known, std::span<platform::unreadable_entry const> found,
                base::mono_time now);

/// \ingroup gateway
/// \brief Logs the entries that `note_unreadable` chooses.
void log_unreadable(unreadable_entries& known, std::span<platform::unreadable_entry const> found,
                    base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
