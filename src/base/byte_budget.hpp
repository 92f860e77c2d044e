#ifndef GOOSEBERRYWOOD_BASE_BYTE_BUDGET_HPP
#define GOOSEBERRYWOOD_BASE_BYTE_BUDGET_HPP

#include "base/event_source.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

namespace gooseberrywood::base
{

struct byte_share;

/// \ingroup base
/// \brief Limit of the bytes that a process holds of what others send to it, such as responses.
///
/// When all holders together reach the limit, the largest of them is evicted. So one that grows
/// without end loses its bytes before they keep small ones from being served.
struct byte_budget
{
    /// Maximum of all shares together.
    std::size_t max_bytes = 0;
    std::size_t used_bytes = 0;
    /// Bytes that were returned since the holder of the budget last set this to zero.
    std::size_t released_bytes = 0;
    /// Number of shares that were evicted or refused since the start.
    std::uint64_t evictions = 0;
    /// Shares that are large enough to be worth an eviction.
    std::set<byte_share*> evictable;
    /// A larger budget in which the bytes count as well; null for none.
    std::shared_ptr<byte_budget> within;
    /// Makes one holder that has stalled release its bytes; empty if none can.
    /// \returns false if no holder has stalled.
    std::function<bool()> reclaim;
};

/// \ingroup base
/// \brief Shares of at most this size are never evicted and always granted.
inline constexpr std::size_t min_evicted_bytes = 64 * 1024;

/// \ingroup base
/// \brief Creates a budget.
/// \param within see `byte_budget::within`.
[[nodiscard]] std::shared_ptr<byte_budget>
make_byte_budget(std::size_t max_bytes, std::shared_ptr<byte_budget> within = nullptr);

/// \ingroup base
/// \brief Counts bytes in a budget and in those around it, even if they exceed a limit.
void add_bytes(byte_budget& budget, std::size_t bytes);

/// \ingroup base
/// \brief Returns bytes that were counted.
void remove_bytes(byte_budget& budget, std::size_t bytes);

/// \ingroup base
/// \brief Whether this many more bytes fit into a budget and those around it.
[[nodiscard]] bool has_room(byte_budget const& budget, std::size_t bytes);

/// \ingroup base
/// \brief Makes one stalled holder of a budget, or of one around it, release its bytes.
/// \returns false if none has stalled.
[[nodiscard]] bool reclaim_bytes(byte_budget& budget);

/// \ingroup base
/// \brief The bytes that one holder has of a budget. They are returned when it is destroyed.
struct byte_share
{
    byte_share() = default;
    byte_share(byte_share const&) = delete;
    byte_share& operator=(byte_share const&) = delete;
    ~byte_share();

    std::shared_ptr<byte_budget> budget;
    /// Maximum of this share.
    std::size_t max_bytes = 0;
    std::size_t bytes = 0;
    /// Called by the main loop when the share was evicted. The holder must release its bytes.
    std::function<void()> on_evicted;
    bool is_evicted = false;
    event_source eviction;
};

/// \ingroup base
/// \brief Creates an empty share.
/// \param on_evicted see `byte_share::on_evicted`.
[[nodiscard]] std::shared_ptr<byte_share> open_share(std::shared_ptr<byte_budget> budget,
                                                     std::size_t max_bytes,
                                                     std::function<void()> on_evicted);

/// \ingroup base
/// \brief Outcome of `grow`.
enum class growth : std::uint8_t
{
    granted,
    /// The share would exceed its own maximum.
    share_full,
    /// All shares together would exceed the budget, and this one is the largest.
    budget_full,
};

/// \ingroup base
/// \brief Adds bytes to a share, and evicts larger shares if the budget is used up.
/// \returns what keeps the bytes from being held; the holder must then release all its bytes.
[[nodiscard]] growth grow(byte_share& share, std::size_t bytes);

/// \ingroup base
/// \brief Excludes a share from eviction. Its bytes count as before.
void retain(byte_share& share);

/// \ingroup base
/// \brief Returns the bytes of a share whose holder is about to release them.
void give_up(byte_share& share);

} // namespace gooseberrywood::base

#endif
