#include "admission/credit_shares.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace gooseberrywood::admission
{

namespace
{

/// Weight of the last interval in the demand.
constexpr double demand_weight = 0.5;

/// Headroom above the recent peak, so that growing demand becomes visible before the share limits
/// it.
constexpr double headroom_fraction = 0.25;
constexpr double headroom = 1;

/// Hysteresis: shares stay while none differs from its ideal by more than one plus this fraction of
/// itself, since each change costs a frame to every entry.
constexpr double tolerance_fraction = 0.1;

struct wanted_share
{
    entry_share* entry = nullptr;
    std::uint64_t number = 0;
    double ideal = 1;
    std::uint32_t share = 1;
};

void update_demand(credit_shares& shares)
{
    for (auto& [number, entry] : shares.entries)
    {
        // The demand of an entry that used up its share is unknown, so it competes for the whole
        // credit.
        auto const recent =
            entry.peak >= entry.share
                ? static_cast<double>(std::max(shares.total, entry.peak))
                : headroom + (1 + headroom_fraction) * static_cast<double>(entry.peak);
        entry.demand += demand_weight * (recent - entry.demand);
        entry.peak = entry.outstanding;
    }
}

/// Max-min fair shares: small demands are met, the larger ones get equal parts of the rest. A
/// proportional split would preserve the ratio between entries that are limited by their shares.
std::vector<wanted_share> ideal_shares(credit_shares& shares, std::uint32_t total)
{
    std::vector<wanted_share> wanted;
    wanted.reserve(shares.entries.size());
    for (auto& [number, entry] : shares.entries)
    {
        wanted.push_back({&entry, number, 1, 1});
    }
    if (total <= wanted.size())
    {
        return wanted;
    }
    std::sort(wanted.begin(), wanted.end(),
              [](wanted_share const& left, wanted_share const& right)
              {
                  return left.entry->demand != right.entry->demand
                             ? left.entry->demand < right.entry->demand
                             : left.number < right.number;
              });
    // Each entry has a minimum of one; the rest is distributed up to the demands.
    auto spare = static_cast<double>(total - wanted.size());
    auto remaining = static_cast<double>(wanted.size());
    for (auto& wanted_entry : wanted)
    {
        auto const part =
            std::min(std::max(wanted_entry.entry->demand - 1, 0.0), spare / remaining);
        wanted_entry.ideal += part;
        spare -= part;
        remaining -= 1;
    }
    // Credit beyond all demands is spread evenly, for entries whose load rises.
    for (auto& wanted_entry : wanted)
    {
        wanted_entry.ideal += spare / static_cast<double>(wanted.size());
    }
    return wanted;
}

bool is_within_tolerance(std::vector<wanted_share> const& wanted)
{
    return std::all_of(wanted.begin(), wanted.end(),
                       [](wanted_share const& wanted_entry)
                       {
                           auto const share = static_cast<double>(wanted_entry.entry->share);
                           return std::abs(wanted_entry.ideal - share) <=
                                  1 + tolerance_fraction * share;
                       });
}

/// Rounds by the largest remainder method; ties go to the lower number, so that the result is
/// deterministic.
void round_shares(std::vector<wanted_share>& wanted, std::uint32_t total)
{
    std::uint32_t sum = 0;
    for (auto& wanted_entry : wanted)
    {
        wanted_entry.share = static_cast<std::uint32_t>(wanted_entry.ideal);
        sum += wanted_entry.share;
    }
    if (sum >= total)
    {
        return;
    }
    std::sort(wanted.begin(), wanted.end(),
              [](wanted_share const& left, wanted_share const& right)
              {
                  auto const left_rest = left.ideal - std::floor(left.ideal);
                  auto const right_rest = right.ideal - std::floor(right.ideal);
                  return left_rest != right_rest ? left_rest > right_rest
                                                 : left.number < right.number;
              });
    for (std::size_t i = 0; sum < total; ++i, ++sum)
    {
        ++wanted[i % wanted.size()].share;
    }
}

} // namespace

void connect(credit_shares& shares, std::uint64_t entry)
{
    shares.membership_changed |= shares.entries.try_emplace(entry).second;
}

void disconnect(credit_shares& shares, std::uint64_t entry)
{
    shares.membership_changed |= shares.entries.erase(entry) > 0;
}

void count_offer(credit_shares& shares, std::uint64_t entry)
{
    auto const found = shares.entries.find(entry);
    if (found != shares.entries.end())
    {
        ++found->second.outstanding;
        found->second.peak = std::max(found->second.peak, found->second.outstanding);
    }
}

void count_end(credit_shares& shares, std::uint64_t entry)
{
    auto const found = shares.entries.find(entry);
    if (found != shares.entries.end() && found->second.outstanding > 0)
    {
        --found->second.outstanding;
    }
}

std::vector<share_change> rebalance(credit_shares& shares, std::uint32_t limit)
{
    if (shares.entries.empty())
    {
        return {};
    }
    update_demand(shares);
    auto const total = 2 * limit;
    auto wanted = ideal_shares(shares, total);
    if (total == shares.total && !shares.membership_changed && is_within_tolerance(wanted))
    {
        return {};
    }
    shares.total = total;
    shares.membership_changed = false;
    round_shares(wanted, total);
    std::vector<share_change> changes;
    for (auto const& wanted_entry : wanted)
    {
        if (wanted_entry.entry->share != wanted_entry.share)
        {
            wanted_entry.entry->share = wanted_entry.share;
            changes.push_back({wanted_entry.number, wanted_entry.share});
        }
    }
    return changes;
}

} // namespace gooseberrywood::admission
