#ifndef GOOSEBERRYWOOD_CONFIG_TIMING_HPP
#define GOOSEBERRYWOOD_CONFIG_TIMING_HPP

#include "base/time.hpp"

#include <chrono>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Longest time that keyed routes are served after the write of a withdrawal (invariant 6).
inline constexpr base::duration withdrawal_target = std::chrono::seconds(5);

/// \ingroup config
/// \brief Part of the target that is left for ending streams once freshness has lapsed.
inline constexpr base::duration stop_margin = std::chrono::milliseconds(500);

/// \ingroup config
/// \brief Age up to which a word from the store or a peer counts.
inline constexpr base::duration freshness_window = withdrawal_target - stop_margin;

/// \ingroup config
/// \brief How often an entry reads the store's version. A word counts from the time it was asked
/// for, so four reads may fail in a row before it lapses.
inline constexpr base::duration store_poll_interval = std::chrono::seconds(1);

/// \ingroup config
/// \brief An operator sends its CAS no later than this after its first announcement.
inline constexpr base::duration announce_limit = std::chrono::seconds(5);

/// \ingroup config
/// \brief An announced version that was not accepted after this never will be. The operator's store
/// call is aborted at this time at the latest, counted from its first announcement.
inline constexpr base::duration announcement_lifetime = std::chrono::seconds(10);

/// \ingroup config
/// \brief A fresh peer's frame clears an announcement that is older than this: its evidence is then
/// younger than the end of the announcement's life.
inline constexpr base::duration announcement_clear_age = announcement_lifetime + withdrawal_target;

/// \ingroup config
/// \brief Time for one answer to a request for the configuration, before another peer is asked.
inline constexpr base::duration request_timeout = std::chrono::seconds(1);

static_assert(freshness_window > 3 * store_poll_interval,
              "a single lost read must not stop keyed routes");
static_assert(announce_limit < announcement_lifetime);

} // namespace gooseberrywood::config

#endif
