#include "store/list_copy.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace gooseberrywood::store
{

namespace
{

// Followers come back within seconds; one that has missed more removals is told the whole list.
constexpr std::size_t most_removals = 1000;

void put(list_copy& to, item const& what, std::uint64_t version)
{
    auto const [at, is_new] = to.items.try_emplace(what.key);
    auto& known = at->second;
    if (is_new || known.what.revision != what.revision || known.what.value != what.value)
    {
        known = {what, version};
        to.version = version;
    }
}

void note_removal(list_copy& to, std::string_view key, std::uint64_t version)
{
    to.removals.push_back({std::string(key), version});
    to.version = version;
    if (to.removals.size() > most_removals)
    {
        to.forgotten_version = to.removals.front().version;
        to.removals.pop_front();
    }
}

void keep_only(list_copy& to, std::span<item const> present, std::uint64_t version)
{
    std::set<std::string_view> keys;
    for (auto const& one : present)
    {
        keys.insert(one.key);
    }
    for (auto at = to.items.begin(); at != to.items.end();)
    {
        if (keys.contains(at->first))
        {
            ++at;
            continue;
        }
        note_removal(to, at->first, version);
        at = to.items.erase(at);
    }
}

/// The new version has a number only if something differs.
void replace_all(list_copy& to, std::span<item const> present)
{
    auto const next = to.version + 1;
    keep_only(to, present, next);
    for (auto const& one : present)
    {
        put(to, one, next);
    }
}

void apply(list_copy& to, list_changes const& told)
{
    auto const next = to.version + 1;
    for (auto const& key : told.removed)
    {
        if (to.items.erase(key) > 0)
        {
            note_removal(to, key, next);
        }
    }
    for (auto const& one : told.items)
    {
        put(to, one, next);
    }
}

} // namespace

bool apply_read(list_copy& to, std::span<item const> read, read_window const& when)
{
    if (when.begin < to.last_read.end)
    {
        return false;
    }
    replace_all(to, read);
    to.last_read = when;
    to.followed_source = 0;
    to.followed_version = 0;
    return true;
}

bool apply_changes(list_copy& to, list_changes const& told, read_window const& when)
{
    bool const same_source = told.source == to.followed_source;
    // Versions of one source only grow. Reads of different processes are ordered by their times.
    bool const is_older =
        same_source ? told.version < to.followed_version : when.begin < to.last_read.end;
    if (is_older || (!told.whole && !same_source))
    {
        return false;
    }
    if (told.whole)
    {
        replace_all(to, told.items);
    }
    else
    {
        apply(to, told);
    }
    to.last_read = {std::max(when.begin, to.last_read.begin), std::max(when.end, to.last_read.end)};
    to.followed_source = told.source;
    to.followed_version = told.version;
    return true;
}

list_changes changes_since(list_copy const& of, std::uint64_t source, std::uint64_t version)
{
    list_changes changes;
    changes.source = of.id;
    changes.version = of.version;
    changes.whole = source != of.id || version < of.forgotten_version || version > of.version;
    for (auto const& [key, one] : of.items)
    {
        if (changes.whole || one.version > version)
        {
            changes.items.push_back(one.what);
        }
    }
    for (auto const& one : of.removals)
    {
        if (!changes.whole && one.version > version && !of.items.contains(one.key))
        {
            changes.removed.push_back(one.key);
        }
    }
    return changes;
}

std::vector<item> all_items(list_copy const& of)
{
    std::vector<item> items;
    items.reserve(of.items.size());
    for (auto const& [key, one] : of.items)
    {
        items.push_back(one.what);
    }
    return items;
}

} // namespace gooseberrywood::store
