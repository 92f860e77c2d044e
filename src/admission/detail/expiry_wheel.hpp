#ifndef GOOSEBERRYWOOD_ADMISSION_DETAIL_EXPIRY_WHEEL_HPP
#define GOOSEBERRYWOOD_ADMISSION_DETAIL_EXPIRY_WHEEL_HPP

#include "base/time.hpp"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace gooseberrywood::admission::detail
{

/// \brief Hashed timing wheel: finds keys that are due in amortised O(1); a sorted index would cost
/// O(log n) and three pointers per entry.
///
/// A key is in the slot of the second in which it is due. A key that is not due when its slot is
/// visited, because it is more than one turn ahead or was postponed, is moved to the slot of its
/// new time.
template <class Key>
struct expiry_wheel
{
    static constexpr base::duration slot_width = std::chrono::seconds(1);
    /// One turn covers the usual deadline of 2 to 4 min plus 60 s, so that most keys are visited
    /// once.
    static constexpr std::size_t slot_count = 512;

    std::array<std::vector<Key>, slot_count> slots;
    /// Number of the next slot to visit, counted from the epoch of the clock.
    std::int64_t next_slot = 0;
    bool started = false;
};

/// \brief Number of the first slot that is visited at or after a time.
[[nodiscard]] constexpr std::int64_t slot_number(base::mono_time time, base::duration width)
{
    return base::micros(time) / width.count() + 1;
}

/// \brief Adds a key that is due at a time.
template <class Key>
void add(expiry_wheel<Key>& wheel, Key const& key, base::mono_time due, base::mono_time now)
{
    using wheel_type = expiry_wheel<Key>;
    if (!wheel.started)
    {
        wheel.next_slot = base::micros(now) / wheel_type::slot_width.count();
        wheel.started = true;
    }
    auto const number = std::max(slot_number(due, wheel_type::slot_width), wheel.next_slot);
    wheel.slots[static_cast<std::size_t>(number) % wheel_type::slot_count].push_back(key);
}

/// \brief Visits the keys of all slots up to a time.
/// \param visit returns the time at which the key is to be visited again, or nothing to drop it.
template <class Key, std::invocable<Key const&> Visit>
void advance(expiry_wheel<Key>& wheel, base::mono_time now, Visit&& visit)
{
    using wheel_type = expiry_wheel<Key>;
    auto const last = base::micros(now) / wheel_type::slot_width.count();
    if (!wheel.started || last < wheel.next_slot)
    {
        return;
    }
    // After a long pause one turn visits every key.
    auto const turn = static_cast<std::int64_t>(wheel_type::slot_count);
    auto number = std::max(wheel.next_slot, last - turn + 1);
    wheel.next_slot = last + 1;
    for (; number <= last; ++number)
    {
        auto keys = std::exchange(
            wheel.slots[static_cast<std::size_t>(number) % wheel_type::slot_count], {});
        for (auto const& key : keys)
        {
            std::optional<base::mono_time> const next_due = visit(key);
            if (next_due)
            {
                add(wheel, key, *next_due, now);
            }
        }
    }
}

} // namespace gooseberrywood::admission::detail

#endif
