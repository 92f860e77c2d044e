#include "base/byte_budget.hpp"

#include <algorithm>
#include <utility>

namespace gooseberrywood::base
{

namespace
{

void return_bytes(byte_share& share)
{
    remove_bytes(*share.budget, std::exchange(share.bytes, 0));
    share.budget->evictable.erase(&share);
}

/// \returns nullptr if no share is large enough.
byte_share* find_largest(byte_budget const& budget)
{
    auto const it = std::max_element(budget.evictable.begin(), budget.evictable.end(),
                                     [](byte_share const* a, byte_share const* b)
                                     { return a->bytes < b->bytes; });
    return it != budget.evictable.end() ? *it : nullptr;
}

void evict(byte_share& share)
{
    ++share.budget->evictions;
    share.is_evicted = true;
    return_bytes(share);
    share.eviction = soon(
        [&share]
        {
            // Moved out, since the holder usually destroys the share in it.
            auto const on_evicted = std::move(share.on_evicted);
            on_evicted();
        });
    // The bytes are released before others are read.
    g_source_set_priority(share.eviction.get(), G_PRIORITY_HIGH);
}

growth refuse(byte_share& share, growth reason)
{
    ++share.budget->evictions;
    share.is_evicted = true;
    return_bytes(share);
    return reason;
}

} // namespace

std::shared_ptr<byte_budget> make_byte_budget(std::size_t max_bytes,
                                              std::shared_ptr<byte_budget> within)
{
    auto made = std::make_shared<byte_budget>();
    made->max_bytes = max_bytes;
    made->within = std::move(within);
    return made;
}

void add_bytes(byte_budget& budget, std::size_t bytes)
{
    for (auto* each = &budget; each != nullptr; each = each->within.get())
    {
        each->used_bytes += bytes;
    }
}

void remove_bytes(byte_budget& budget, std::size_t bytes)
{
    for (auto* each = &budget; each != nullptr; each = each->within.get())
    {
        each->used_bytes -= bytes;
        each->released_bytes += bytes;
    }
}

bool has_room(byte_budget const& budget, std::size_t bytes)
{
    for (auto const* each = &budget; each != nullptr; each = each->within.get())
    {
        if (each->used_bytes + bytes > each->max_bytes)
        {
            return false;
        }
    }
    return true;
}

bool reclaim_bytes(byte_budget& budget)
{
    for (auto* each = &budget; each != nullptr; each = each->within.get())
    {
        if (each->reclaim && each->reclaim())
        {
            return true;
        }
    }
    return false;
}

byte_share::~byte_share()
{
    if (budget)
    {
        return_bytes(*this);
    }
}

std::shared_ptr<byte_share> open_share(std::shared_ptr<byte_budget> budget, std::size_t max_bytes,
                                       std::function<void()> on_evicted)
{
    auto made = std::make_shared<byte_share>();
    made->budget = std::move(budget);
    made->max_bytes = max_bytes;
    made->on_evicted = std::move(on_evicted);
    return made;
}

growth grow(byte_share& share, std::size_t bytes)
{
    if (share.is_evicted)
    {
        return growth::budget_full;
    }
    auto& budget = *share.budget;
    share.bytes += bytes;
    add_bytes(budget, bytes);
    if (share.bytes > share.max_bytes)
    {
        return refuse(share, growth::share_full);
    }
    while (!has_room(budget, 0) && reclaim_bytes(budget))
    {
    }
    if (share.bytes <= min_evicted_bytes)
    {
        return growth::granted;
    }
    if (share.on_evicted)
    {
        budget.evictable.insert(&share);
    }
    while (!has_room(budget, 0))
    {
        auto* const largest = find_largest(budget);
        if (largest == nullptr || largest == &share)
        {
            return refuse(share, growth::budget_full);
        }
        evict(*largest);
    }
    return growth::granted;
}

void retain(byte_share& share)
{
    share.budget->evictable.erase(&share);
    share.on_evicted = nullptr;
}

void give_up(byte_share& share)
{
    share.is_evicted = true;
    return_bytes(share);
}

} // namespace gooseberrywood::base
