#include "store/list_copy.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace gooseberrywood::store
{

namespace
{

// Followers poll within seconds. One that has missed more removals receives the whole list.
constexpr std::size_t max_removals = 1000;

void put(list_copy& copy, item const& new_item, std::uint64_t version)
{
    auto const [it, is_new] = copy.items.try_emplace(new_item.key);
    auto& current = it->second;
    if (is_new || current.data.revision != new_item.revision ||
        current.data.value != new_item.value)
    {
        current = {new_item, version};
        copy.version = version;
    }
}

void record_removal(list_copy& copy, std::string_view key, std::uint64_t version)
{
    copy.removals.push_back({std::string(key), version});
    copy.version = version;
    if (copy.removals.size() > max_removals)
    {
        copy.discarded_version = copy.removals.front().version;
        copy.removals.pop_front();
    }
}

void keep_only(list_copy& copy, std::span<item const> present, std::uint64_t version)
{
    std::set<std::string_view> keys;
    for (auto const& kept : present)
    {
        keys.insert(kept.key);
    }
    for (auto it = copy.items.begin(); it != copy.items.end();)
    {
        if (keys.contains(it->first))
        {
            ++it;
            continue;
        }
        record_removal(copy, it->first, version);
        it = copy.items.erase(it);
    }
}

/// The version of the copy increases only if an item differs.
void replace_all(list_copy& copy, std::span<item const> present)
{
    auto const next = copy.version + 1;
    keep_only(copy, present, next);
    for (auto const& new_item : present)
    {
        put(copy, new_item, next);
    }
}

void apply_delta(list_copy& copy, list_changes const& changes)
{
    auto const next = copy.version + 1;
    for (auto const& key : changes.removed)
    {
        if (copy.items.erase(key) > 0)
        {
            record_removal(copy, key, next);
        }
    }
    for (auto const& new_item : changes.items)
    {
        put(copy, new_item, next);
    }
}

} // namespace

bool apply_read(list_copy& copy, std::span<item const> items, read_window const& window)
{
    if (window.begin < copy.last_read.end)
    {
        return false;
    }
    replace_all(copy, items);
    copy.last_read = window;
    copy.followed_source = 0;
    copy.followed_version = 0;
    return true;
}

bool apply_changes(list_copy& copy, list_changes const& changes, read_window const& window)
{
    bool const same_source = changes.source == copy.followed_source;
    // Versions of one source only increase. Reads by different processes are ordered by time.
    bool const is_older =
        same_source ? changes.version < copy.followed_version : window.begin < copy.last_read.end;
    if (is_older || (!changes.whole && !same_source))
    {
        return false;
    }
    if (changes.whole)
    {
        replace_all(copy, changes.items);
    }
    else
    {
        apply_delta(copy, changes);
    }
    copy.last_read = {std::max(window.begin, copy.last_read.begin),
                      std::max(window.end, copy.last_read.end)};
    copy.followed_source = changes.source;
    copy.followed_version = changes.version;
    return true;
}

list_changes changes_since(list_copy const& copy, std::uint64_t source, std::uint64_t version)
{
    list_changes changes;
    changes.source = copy.id;
    changes.version = copy.version;
    changes.whole = source != copy.id || version < copy.discarded_version || version > copy.version;
    for (auto const& [key, entry] : copy.items)
    {
        if (changes.whole || entry.version > version)
        {
            changes.items.push_back(entry.data);
        }
    }
    for (auto const& removal : copy.removals)
    {
        if (!changes.whole && removal.version > version && !copy.items.contains(removal.key))
        {
            changes.removed.push_back(removal.key);
        }
    }
    return changes;
}

std::vector<item> all_items(list_copy const& copy)
{
    std::vector<item> items;
    items.reserve(copy.items.size());
    for (auto const& [key, entry] : copy.items)
    {
        items.push_back(entry.data);
    }
    return items;
}

} // namespace gooseberrywood::store
