#include "duty/report_transaction.hpp"

#include "duty/usage_windows.hpp"

#include <algorithm>
#include <iterator>

namespace gooseberrywood::duty
{

store::transaction report_transaction(usage_report const& report)
{
    store::transaction write;
    auto const key = report_key(report.window);
    write.expected.push_back({key, 0});
    write.writes.push_back({key, encode_counts(report.counts), 0});
    return write;
}

store::transaction take_removals(std::vector<std::string>& keys)
{
    auto const count = std::min(keys.size(), store::max_transaction_entries);
    auto const end = keys.begin() + static_cast<std::ptrdiff_t>(count);
    store::transaction removal;
    removal.removals.assign(std::make_move_iterator(keys.begin()), std::make_move_iterator(end));
    keys.erase(keys.begin(), end);
    return removal;
}

} // namespace gooseberrywood::duty
