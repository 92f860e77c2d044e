#ifndef GOOSEBERRYWOOD_ADMISSION_DETAIL_TEAM_QUEUE_HPP
#define GOOSEBERRYWOOD_ADMISSION_DETAIL_TEAM_QUEUE_HPP

#include "admission/team_limits.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace gooseberrywood::admission::detail
{

/// \brief Item with its position in the order of arrival.
template <class Item>
struct queue_node
{
    Item item;
    std::uint64_t sequence = 0;
};

template <class Item>
using queue_lanes = std::map<std::string, std::list<queue_node<Item>>, std::less<>>;

/// \brief The waiting items of one team and its virtual token counter.
template <class Item>
struct team_queue
{
    std::string name;
    /// Sequence number of the team's creation; breaks ties between equal counters.
    std::uint64_t order = 0;
    team_limits limits;
    /// Tokens charged, divided by the weight.
    double counter = 0;
    /// Lower bound of the counter: its value after the lift when the team last became active.
    double counter_floor = 0;
    std::size_t count = 0;
    std::size_t bytes = 0;
    /// Average time between two picks while items wait, in microseconds, since the team became
    /// active; a team whose queue becomes empty does not wait for its share.
    double pick_interval = 0;
    std::uint32_t picks = 0;
    base::mono_time picked_at{};
    /// Lanes without items are removed.
    queue_lanes<Item> lanes;
};

/// \brief Order of the active teams: smallest counter first.
struct by_counter
{
    template <class Item>
    bool operator()(team_queue<Item> const* left, team_queue<Item> const* right) const
    {
        return left->counter != right->counter ? left->counter < right->counter
                                               : left->order < right->order;
    }
};

/// \brief Position of an item in the queue.
template <class Item>
struct queue_position
{
    team_queue<Item>* team = nullptr;
    typename queue_lanes<Item>::iterator lane;
    typename std::list<queue_node<Item>>::iterator node;
};

} // namespace gooseberrywood::admission::detail

#endif
