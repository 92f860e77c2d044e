#ifndef GOOSEBERRYWOOD_ADMISSION_FAIR_QUEUE_HPP
#define GOOSEBERRYWOOD_ADMISSION_FAIR_QUEUE_HPP

#include "admission/detail/team_queue.hpp"
#include "admission/queue_tag.hpp"
#include "admission/rejected_item.hpp"
#include "admission/team_limits.hpp"
#include "base/request_id.hpp"
#include "base/result_code.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Weighted fair queue of teams, ordered by virtual token counters.
///
/// The waiting team with the smallest counter is served next and charged the item's cost divided by
/// the team's weight. A pick takes O(log teams + log items) and one more step for each lane of the
/// teams that it visits: the served one, and before it those without an eligible item.
/// Move-only, since `positions` holds iterators and pointers into the queue.
template <queue_item Item>
struct fair_queue
{
    using team_type = detail::team_queue<Item>;

    fair_queue() = default;
    fair_queue(fair_queue&&) noexcept = default;
    fair_queue& operator=(fair_queue&&) noexcept = default;
    fair_queue(fair_queue const&) = delete;
    fair_queue& operator=(fair_queue const&) = delete;
    ~fair_queue() = default;

    /// Limits of the teams for which `set_team` was not called.
    team_limits default_limits;
    std::map<std::string, team_type, std::less<>> teams;
    /// Teams with waiting items.
    std::set<team_type*, detail::by_counter> active;
    std::unordered_map<base::request_id, detail::queue_position<Item>> positions;
    std::set<std::pair<base::mono_time, base::request_id>> deadlines;
    std::uint64_t next_sequence = 0;
    std::uint64_t next_order = 0;
    /// Highest counter at which a team was served. A team that becomes active while no other team
    /// waits starts at least there.
    double last_served = 0;
};

namespace detail
{

template <class Item>
team_queue<Item>& find_or_add_team(fair_queue<Item>& queue, std::string_view name)
{
    auto found = queue.teams.find(name);
    if (found == queue.teams.end())
    {
        found = queue.teams.emplace(std::string(name), team_queue<Item>{}).first;
        found->second.name = found->first;
        found->second.order = queue.next_order++;
        found->second.limits = queue.default_limits;
    }
    return found->second;
}

/// Changes the counter of a team and its position among the active ones.
template <class Item>
void set_counter(fair_queue<Item>& queue, team_queue<Item>& team, double counter)
{
    // The set must not hold the team while its sort key changes.
    auto node = queue.active.extract(&team);
    team.counter = counter;
    if (!node.empty())
    {
        queue.active.insert(std::move(node));
    }
}

template <class Item>
double charge(team_queue<Item> const& team, std::uint32_t cost)
{
    return static_cast<double>(std::max(cost, 1U)) /
           static_cast<double>(std::max(team.limits.weight, 1U));
}

/// Records a pick of an active team for the estimate of its waiting time.
template <class Item>
void record_pick(team_queue<Item>& team, base::mono_time now)
{
    // Exponential moving average over about the last 20 intervals. The first pick of an active
    // period has no interval.
    constexpr double interval_weight = 0.05;
    if (team.picks > 0)
    {
        auto const interval = static_cast<double>((now - team.picked_at).count());
        auto const weight = std::max(interval_weight, 1.0 / team.picks);
        team.pick_interval += weight * (interval - team.pick_interval);
    }
    ++team.picks;
    team.picked_at = now;
}

template <class Item>
Item extract(fair_queue<Item>& queue, queue_position<Item> const position)
{
    auto& team = *position.team;
    auto const tag = queue_tag_of(position.node->item);
    queue.deadlines.erase({tag.deadline, tag.id});
    queue.positions.erase(tag.id);
    --team.count;
    team.bytes -= tag.bytes;
    Item item = std::move(position.node->item);
    position.lane->second.erase(position.node);
    if (position.lane->second.empty())
    {
        team.lanes.erase(position.lane);
    }
    if (team.count == 0)
    {
        queue.active.erase(&team);
    }
    return item;
}

} // namespace detail

/// \brief Sets the weight and the limits of a team. Items that already wait stay in the queue, even
/// if they exceed the new limits.
template <queue_item Item>
void set_team(fair_queue<Item>& queue, std::string_view name, team_limits const& limits)
{
    detail::find_or_add_team(queue, name).limits = limits;
}

/// \brief Removes the teams that fulfil a condition and have no waiting items. A removed team that
/// returns is treated like a new one: it has the default limits, and its counter starts at the
/// smallest counter of the active teams.
template <queue_item Item, std::predicate<std::string_view> Condition>
void forget_idle_teams(fair_queue<Item>& queue, Condition&& condition)
{
    std::erase_if(queue.teams, [&](auto const& entry)
                  { return entry.second.count == 0 && condition(std::string_view(entry.first)); });
}

/// \brief Number of waiting items.
template <queue_item Item>
[[nodiscard]] std::size_t size(fair_queue<Item> const& queue)
{
    return queue.positions.size();
}

/// \brief Number of waiting items of one team.
template <queue_item Item>
[[nodiscard]] std::size_t size(fair_queue<Item> const& queue, std::string_view team)
{
    auto const found = queue.teams.find(team);
    return found == queue.teams.end() ? 0 : found->second.count;
}

/// \brief Expected wait of a new item of a team, according to the team's recent picks.
/// \returns zero for a team without waiting items or with too few picks for an estimate.
template <queue_item Item>
[[nodiscard]] base::duration expected_wait(fair_queue<Item> const& queue, std::string_view name)
{
    // Fewer picks are not representative: the first ones after an idle period come in a burst.
    constexpr std::uint32_t min_picks = 16;
    auto const found = queue.teams.find(name);
    if (found == queue.teams.end() || found->second.count == 0 || found->second.picks < min_picks)
    {
        return base::duration::zero();
    }
    auto const& team = found->second;
    return base::duration(
        static_cast<std::int64_t>(team.pick_interval * static_cast<double>(team.count)));
}

/// \brief Adds an item.
/// \returns nothing when the item was accepted, otherwise the item and the reason.
template <queue_item Item>
[[nodiscard]] std::optional<rejected_item<Item>> push(fair_queue<Item>& queue,
                                                      std::type_identity_t<Item> item)
{
    auto const tag = queue_tag_of(item);
    if (queue.positions.contains(tag.id))
    {
        return rejected_item<Item>{base::result_code::duplicate_attempt, std::move(item)};
    }
    auto& team = detail::find_or_add_team(queue, tag.team);
    if (team.count >= team.limits.max_queued ||
        team.bytes + tag.bytes > team.limits.max_queued_bytes)
    {
        return rejected_item<Item>{base::result_code::team_queue_full, std::move(item)};
    }
    if (team.count == 0)
    {
        // An idle team must not gain credit against the teams that waited meanwhile.
        auto const smallest =
            queue.active.empty() ? queue.last_served : (*queue.active.begin())->counter;
        team.counter = std::max(team.counter, smallest);
        team.counter_floor = team.counter;
        team.pick_interval = 0;
        team.picks = 0;
        queue.active.insert(&team);
    }
    ++team.count;
    team.bytes += tag.bytes;
    queue.deadlines.insert({tag.deadline, tag.id});
    auto lane = team.lanes.find(tag.lane);
    if (lane == team.lanes.end())
    {
        lane =
            team.lanes.emplace(std::string(tag.lane), std::list<detail::queue_node<Item>>{}).first;
    }
    auto const id = tag.id;
    lane->second.push_back({std::move(item), queue.next_sequence++});
    queue.positions.emplace(
        id, detail::queue_position<Item>{&team, lane, std::prev(lane->second.end())});
    return std::nullopt;
}

/// \brief Takes the next item and charges its team the estimated cost.
/// \param now time of the pick, for the estimate of waiting times.
/// \param eligible predicate that tells whether an item can be served now; only called for the
/// first item of each lane.
/// \returns among the teams that have an eligible item, the oldest such item of the team with the
/// smallest counter; nothing if no team has one.
template <queue_item Item, std::predicate<Item const&> Eligible>
[[nodiscard]] std::optional<Item> pick(fair_queue<Item>& queue, base::mono_time now,
                                       Eligible&& eligible)
{
    for (auto* const team : queue.active)
    {
        std::optional<detail::queue_position<Item>> oldest;
        for (auto lane = team->lanes.begin(); lane != team->lanes.end(); ++lane)
        {
            auto const first = lane->second.begin();
            if ((!oldest || first->sequence < oldest->node->sequence) &&
                eligible(std::as_const(first->item)))
            {
                oldest = {team, lane, first};
            }
        }
        if (oldest)
        {
            auto const cost = queue_tag_of(oldest->node->item).cost;
            detail::record_pick(*team, now);
            queue.last_served = std::max(queue.last_served, team->counter);
            detail::set_counter(queue, *team, team->counter + detail::charge(*team, cost));
            return detail::extract(queue, *oldest);
        }
    }
    return std::nullopt;
}

/// \brief Replaces the estimated cost of a served item by the actual one.
template <queue_item Item>
void correct(fair_queue<Item>& queue, std::string_view name, std::uint32_t estimated,
             std::uint32_t actual)
{
    auto const found = queue.teams.find(name);
    if (found == queue.teams.end())
    {
        return;
    }
    auto& team = found->second;
    auto const corrected =
        team.counter + detail::charge(team, actual) - detail::charge(team, estimated);
    // Refunding a charge from before the team last became active would give it credit for idling.
    detail::set_counter(queue, team, std::max(corrected, team.counter_floor));
}

/// \brief Removes an item without charging its team.
template <queue_item Item>
[[nodiscard]] std::optional<Item> remove(fair_queue<Item>& queue, base::request_id const& id)
{
    auto const found = queue.positions.find(id);
    if (found == queue.positions.end())
    {
        return std::nullopt;
    }
    return detail::extract(queue, found->second);
}

/// \brief Finds the waiting item with an id.
/// \returns null if there is none.
template <queue_item Item>
[[nodiscard]] Item const* find(fair_queue<Item> const& queue, base::request_id const& id)
{
    auto const found = queue.positions.find(id);
    return found == queue.positions.end() ? nullptr : &found->second.node->item;
}

/// \brief Removes all items that fulfil a condition, without charging their teams. O(n) in
/// the number of waiting items.
/// \returns the items, sorted by team, lane and arrival.
template <queue_item Item, std::predicate<Item const&> Condition>
[[nodiscard]] std::vector<Item> remove_if(fair_queue<Item>& queue, Condition&& condition)
{
    std::vector<base::request_id> ids;
    for (auto const& [name, team] : queue.teams)
    {
        for (auto const& [lane, nodes] : team.lanes)
        {
            for (auto const& node : nodes)
            {
                if (condition(node.item))
                {
                    ids.push_back(queue_tag_of(node.item).id);
                }
            }
        }
    }
    std::vector<Item> removed;
    removed.reserve(ids.size());
    for (auto const& id : ids)
    {
        removed.push_back(*remove(queue, id));
    }
    return removed;
}

/// \brief Removes all items of the API key with this hash, without charging their teams. O(n)
/// in the number of waiting items.
template <queue_item Item>
[[nodiscard]] std::vector<Item> remove_key(fair_queue<Item>& queue, std::string_view key_hash)
{
    return remove_if(queue,
                     [&](Item const& item) { return queue_tag_of(item).key_hash == key_hash; });
}

/// \brief Removes all items of a team, without charging it. O(n) in the number of waiting
/// items.
template <queue_item Item>
[[nodiscard]] std::vector<Item> remove_team(fair_queue<Item>& queue, std::string_view team)
{
    return remove_if(queue, [&](Item const& item) { return queue_tag_of(item).team == team; });
}

/// \brief Removes the items whose deadlines have passed, without charging their teams.
/// \returns the items, earliest deadline first.
template <queue_item Item>
[[nodiscard]] std::vector<Item> expire(fair_queue<Item>& queue, base::mono_time now)
{
    std::vector<Item> expired;
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= now)
    {
        expired.push_back(*remove(queue, base::request_id(queue.deadlines.begin()->second)));
    }
    return expired;
}

} // namespace gooseberrywood::admission

#endif
