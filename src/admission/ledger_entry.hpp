#ifndef GOOSEBERRYWOOD_ADMISSION_LEDGER_ENTRY_HPP
#define GOOSEBERRYWOOD_ADMISSION_LEDGER_ENTRY_HPP

#include "base/time.hpp"

#include <cstdint>
#include <limits>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief State of an attempt.
enum class attempt_state : std::uint8_t
{
    queued,
    running,
    done,
    /// Has not started here and never will.
    tombstone,
};

/// \ingroup admission
/// \brief Ledger record of one request.
struct ledger_entry
{
    static constexpr std::uint32_t none = std::numeric_limits<std::uint32_t>::max();

    /// Highest attempt seen, fenced or refused.
    std::uint32_t attempt = 0;
    /// Lowest attempt that started, or `none`.
    std::uint32_t first_started = none;
    attempt_state state = attempt_state::queued;
    /// Time from which the entry may be removed.
    base::mono_time horizon{};
};

} // namespace gooseberrywood::admission

#endif
