#include "http/memory_budget.hpp"

#include <algorithm>

namespace gooseberrywood::http
{

std::size_t max_large_bytes(memory_budget const& budget)
{
    return budget.total / 4 * 3;
}

bool reserve(memory_budget& budget, memory_share& share, std::size_t bytes)
{
    bool const becomes_large = share.bytes + bytes > small_request_bytes;
    auto const large_before = share.is_large ? share.bytes : 0;
    auto const large_after = becomes_large ? share.bytes + bytes : large_before;
    auto const large = budget.reserved_large - large_before + large_after;
    if (budget.reserved + bytes > budget.total ||
        (becomes_large && large > max_large_bytes(budget)))
    {
        return false;
    }
    budget.reserved += bytes;
    budget.reserved_large = large;
    share.bytes += bytes;
    share.is_large = share.is_large || becomes_large;
    return true;
}

void release(memory_budget& budget, memory_share& share, std::size_t bytes)
{
    auto const released = std::min(bytes, share.bytes);
    budget.reserved -= released;
    budget.reserved_large -= share.is_large ? released : 0;
    share.bytes -= released;
    if (share.bytes <= small_request_bytes && share.is_large)
    {
        budget.reserved_large -= share.bytes;
        share.is_large = false;
    }
}

} // namespace gooseberrywood::http
