#ifndef GOOSEBERRYWOOD_ADMISSION_QUEUE_TAG_HPP
#define GOOSEBERRYWOOD_ADMISSION_QUEUE_TAG_HPP

#include "base/request_id.hpp"
#include "base/time.hpp"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Scheduling attributes of an item in a fair queue. The views refer to strings of the item.
struct queue_tag
{
    base::request_id id;
    std::string_view team;
    std::string_view key_hash;
    /// Items of one lane (for example, one route) wait for the same resource. While it is
    /// unavailable, items of other lanes are served first.
    std::string_view lane;
    /// Estimated cost in tokens.
    std::uint32_t cost = 1;
    std::size_t bytes = 0;
    /// Time from which it is useless to serve the item.
    base::mono_time deadline{};
};

/// \ingroup admission
/// \brief An item of a fair queue; `queue_tag_of` is found by argument-dependent lookup.
template <class Item>
concept queue_item = std::movable<Item> && requires(Item const& item)
{
    {
        queue_tag_of(item)
        } -> std::same_as<queue_tag>;
};

} // namespace gooseberrywood::admission

#endif
