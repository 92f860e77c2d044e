#ifndef GOOSEBERRYWOOD_ADMISSION_LEDGER_HPP
#define GOOSEBERRYWOOD_ADMISSION_LEDGER_HPP

#include "admission/detail/expiry_wheel.hpp"
#include "admission/ledger_entry.hpp"
#include "base/request_id.hpp"
#include "base/result_code.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Time for which a request is kept beyond its deadline, so that late frames are recognised.
inline constexpr base::duration horizon_margin = std::chrono::seconds(60);

/// \ingroup admission
/// \brief Bounds of a ledger.
struct ledger_settings
{
    /// Maximum number of entries, about 100 bytes each; 200 requests/s for 3 min need 36,000.
    std::size_t max_entries = 100'000;
    /// Entries reserved for tombstones, so that a ledger that refuses new work can still report
    /// "not run" correctly.
    std::size_t tombstone_reserve = 10'000;
    /// Longest time from the sending of a Start to its deadline. A fence carries no deadline, so
    /// its tombstone is kept for this time plus the margin.
    base::duration longest_request = std::chrono::seconds(600);
};

/// \ingroup admission
/// \brief Records each request until its horizon, so that no attempt runs twice and a refusal
/// reports "not run" only when this is true.
struct ledger
{
    ledger_settings settings;
    std::unordered_map<base::request_id, ledger_entry> entries;
    detail::expiry_wheel<base::request_id> wheel;
};

/// \ingroup admission
/// \brief Result of `admit`: whether an attempt may be queued, or why not.
struct admit_result
{
    /// `ok`, `duplicate_attempt`, `fenced`, `deadline_passed`, `ledger_full`, or
    /// `bad_request` for the reserved attempt number `ledger_entry::none`.
    base::result_code code = base::result_code::ok;
    /// True when the attempt has not run and never will; its tombstone is written.
    bool not_run = false;
};

/// \brief Records a new attempt as queued.
/// \param idempotent a request that is not idempotent is refused once any attempt of it has
/// started.
/// \param deadline the request's deadline; the horizon follows from it.
[[nodiscard]] admit_result admit(ledger& attempts, base::request_id const& id,
                                 std::uint32_t attempt, bool idempotent, base::mono_time deadline,
                                 base::mono_time now);

/// \brief Writes the tombstone of an attempt, if it has not started and there is room.
/// \returns whether a refusal of this attempt may report "not run".
[[nodiscard]] bool write_tombstone(ledger& attempts, base::request_id const& id,
                                   std::uint32_t attempt, base::mono_time deadline,
                                   base::mono_time now);

/// \brief Records that a queued attempt is about to be sent to the upstream.
/// \returns false if it must not be sent, since it is unknown, fenced, superseded or already
/// started.
[[nodiscard]] bool mark_running(ledger& attempts, base::request_id const& id,
                                std::uint32_t attempt);

/// \brief Records the end of a running attempt, whatever its outcome.
void mark_done(ledger& attempts, base::request_id const& id, std::uint32_t attempt);

/// \brief Writes a tombstone for an attempt and all earlier ones, unless one of them has started.
/// The caller must then remove a queued attempt from its queue.
/// \returns true when one has started or a full ledger can't rule this out.
[[nodiscard]] bool fence(ledger& attempts, base::request_id const& id, std::uint32_t attempt,
                         base::mono_time now);

/// \brief Removes entries past their horizon, in amortised O(1). Queued and running attempts are
/// kept.
void expire(ledger& attempts, base::mono_time now);

/// \brief The entry of a request, or nullptr.
[[nodiscard]] ledger_entry const* find(ledger const& attempts, base::request_id const& id);

/// \brief Whether new work is refused for lack of room.
[[nodiscard]] bool is_full(ledger const& attempts);

} // namespace gooseberrywood::admission

#endif
