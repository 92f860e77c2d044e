#ifndef GOOSEBERRYWOOD_STORE_LIST_COPY_HPP
#define GOOSEBERRYWOOD_STORE_LIST_COPY_HPP

#include "base/time.hpp"
#include "store/item.hpp"
#include "store/list_changes.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief When a list was read: the store held what was read at some moment in between.
struct read_window
{
    base::mono_time begin{};
    base::mono_time end{};
};

/// \ingroup store
/// \brief A list of the store as a process last saw it, from its own reads or from the copies of
/// other processes. Others can follow it: it tells what has changed since each version.
struct list_copy
{
    struct versioned_item
    {
        item what;
        /// Version of the copy in which the item came or changed.
        std::uint64_t version = 0;
    };

    struct removal
    {
        std::string key;
        std::uint64_t version = 0;
    };

    /// Random number, never 0; names the copy towards other processes.
    std::uint64_t id = 1;
    /// Grows with each change.
    std::uint64_t version = 0;
    std::map<std::string, versioned_item, std::less<>> items;
    /// The last removals, oldest first.
    std::deque<removal> removals;
    /// Removals up to this version are forgotten.
    std::uint64_t forgotten_version = 0;
    read_window last_read;
    /// The copy that this one follows, and the version that it has seen of it; 0 after an own read.
    std::uint64_t followed_source = 0;
    std::uint64_t followed_version = 0;
};

/// \ingroup store
/// \brief Takes over a list that this process has read itself.
/// \returns false when the read may be older than what is known; nothing is changed then.
[[nodiscard]] bool apply_read(list_copy& to, std::span<item const> read, read_window const& when);

/// \ingroup store
/// \brief Takes over changes that another process has told.
/// \param when bounds of the read that the changes come from, on this process's clock.
/// \returns false when the changes may be older than what is known, or don't follow it; nothing is
/// changed then.
[[nodiscard]] bool apply_changes(list_copy& to, list_changes const& told, read_window const& when);

/// \ingroup store
/// \brief What a process must be told that has seen a version of this copy.
/// \param source the copy that it has seen; all items are told when it is another one.
[[nodiscard]] list_changes changes_since(list_copy const& of, std::uint64_t source,
                                         std::uint64_t version);

/// \ingroup store
/// \brief The items in the order of their keys.
[[nodiscard]] std::vector<item> all_items(list_copy const& of);

} // namespace gooseberrywood::store

#endif
