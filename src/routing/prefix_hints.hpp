#ifndef GOOSEBERRYWOOD_ROUTING_PREFIX_HINTS_HPP
#define GOOSEBERRYWOOD_ROUTING_PREFIX_HINTS_HPP

#include "base/time.hpp"
#include "routing/upstream_id.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace gooseberrywood::routing
{

/// \brief Lifetime of a hint. Cache memory is limited and evictions may go unreported, so that old
/// hints are unreliable.
inline constexpr base::duration prefix_hint_lifetime = std::chrono::seconds(60);

/// \brief Maximum number of prefixes with hints, about 100 bytes each; the oldest hints are dropped
/// first.
inline constexpr std::size_t prefix_hints_max = 65536;

/// \ingroup routing
/// \brief Upstream that reported a prefix as cached.
struct prefix_hint
{
    upstream_id upstream;
    base::mono_time expires_at = base::mono_time::min();
};

/// \ingroup routing
/// \brief Upstreams that reported prefixes as cached. The reports are delayed and incomplete: a
/// hint raises a candidate's rank for a limited time, and the lack of one means nothing.
struct prefix_hints
{
    /// The last two upstreams of each prefix: the preferred one and one that took its overflow.
    std::unordered_map<std::uint64_t, std::array<prefix_hint, 2>> by_prefix;
    /// Prefixes by expiry; a renewed prefix has a further, later element.
    std::deque<std::pair<base::mono_time, std::uint64_t>> by_expiry;
};

/// \brief Records that an upstream has, or is about to have, a prefix in its cache.
void record_cached(prefix_hints& hints, std::uint64_t prefix, upstream_id upstream,
                   base::mono_time now);

/// \brief Removes a hint after a report that the prefix was evicted.
void record_evicted(prefix_hints& hints, std::uint64_t prefix, upstream_id upstream);

/// \brief The upstreams with a valid hint, at most two.
[[nodiscard]] std::vector<upstream_id> hinted_upstreams(prefix_hints const& hints,
                                                        std::uint64_t prefix, base::mono_time now);

} // namespace gooseberrywood::routing

#endif
