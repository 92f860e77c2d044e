#include "http/request_share.hpp"

#include <algorithm>

namespace gooseberrywood::http
{

namespace
{

base::byte_budget& budget_of(memory_budgets const& budgets, bool is_large)
{
    return is_large ? *budgets.large_requests : *budgets.process;
}

/// Changes a share, and moves it to the budget of its size.
void set_bytes(memory_budgets const& budgets, request_share& share, std::size_t bytes)
{
    auto& from = budget_of(budgets, share.is_large);
    auto& to = budget_of(budgets, bytes > short_request_bytes);
    if (&from != &to)
    {
        base::remove_bytes(from, share.bytes);
        base::add_bytes(to, bytes);
    }
    else if (bytes > share.bytes)
    {
        base::add_bytes(to, bytes - share.bytes);
    }
    else
    {
        base::remove_bytes(to, share.bytes - bytes);
    }
    share.bytes = bytes;
    share.is_large = bytes > short_request_bytes;
}

} // namespace

bool reserve(memory_budgets const& budgets, request_share& share, std::size_t bytes)
{
    auto const before = share.bytes;
    set_bytes(budgets, share, before + bytes);
    bool const fits = base::has_room(budget_of(budgets, share.is_large), 0);
    if (!fits)
    {
        set_bytes(budgets, share, before);
    }
    return fits;
}

void count_held(memory_budgets const& budgets, request_share& share, std::size_t bytes)
{
    set_bytes(budgets, share, share.bytes + bytes);
}

void release(memory_budgets const& budgets, request_share& share, std::size_t bytes)
{
    set_bytes(budgets, share, share.bytes - std::min(bytes, share.bytes));
}

} // namespace gooseberrywood::http
