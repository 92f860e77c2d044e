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
/// \brief Time span in which a list was read. The store held the returned items at some moment
/// within it.
struct read_window
{
    base::mono_time begin{};
    base::mono_time end{};
};

/// \ingroup store
/// \brief Local copy of a list in the store, updated by this process's reads of the store or from
/// the copies of other processes. Other processes can follow the copy: `changes_since` returns what
/// has changed since the version that they have.
struct list_copy
{
    struct versioned_item
    {
        item data;
        /// Version of the copy in which the item was added or last changed.
        std::uint64_t version = 0;
    };

    struct removal
    {
        std::string key;
        std::uint64_t version = 0;
    };

    /// Random nonzero number that identifies the copy to other processes.
    std::uint64_t id = 1;
    /// Increases with each change.
    std::uint64_t version = 0;
    std::map<std::string, versioned_item, std::less<>> items;
    /// Most recent removals, oldest first.
    std::deque<removal> removals;
    /// Removals up to this version may be missing from `removals`.
    std::uint64_t discarded_version = 0;
    /// Bounds of the read that the copy reflects.
    read_window last_read;
    /// Id of the copy that this one follows, and the last version received from it. Both are 0
    /// after a read of the store by this process.
    std::uint64_t followed_source = 0;
    std::uint64_t followed_version = 0;
};

/// \ingroup store
/// \brief Replaces the copy by a list that this process read from the store.
/// \returns false if the read may be older than the copy, which is then left unchanged.
[[nodiscard]] bool apply_read(list_copy& copy, std::span<item const> items,
                              read_window const& window);

/// \ingroup store
/// \brief Applies changes received from another process.
/// \param window bounds of the read that the changes come from, on this process's clock.
/// \returns false if the changes may be older than the copy, or if they are not the whole list and
/// come from another source than the one that the copy follows. The copy is then left unchanged.
[[nodiscard]] bool apply_changes(list_copy& copy, list_changes const& changes,
                                 read_window const& window);

/// \ingroup store
/// \brief Changes to send to a process that follows this copy.
/// \param source id of the copy that the process follows.
/// \param version last version that the process received from it. The result holds all items if
/// the id is that of another copy, or if the changes since this version are not known.
[[nodiscard]] list_changes changes_since(list_copy const& copy, std::uint64_t source,
                                         std::uint64_t version);

/// \ingroup store
/// \brief All items, sorted by key.
[[nodiscard]] std::vector<item> all_items(list_copy const& copy);

} // namespace gooseberrywood::store

#endif
