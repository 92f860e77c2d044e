#ifndef GOOSEBERRYWOOD_ROUTING_SUSPECTS_HPP
#define GOOSEBERRYWOOD_ROUTING_SUSPECTS_HPP

#include "base/time.hpp"
#include "routing/suspect_mark.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberrywood::routing
{

/// \brief Number of distinct crash ids from which a request is refused. One may be a coincidence,
/// since all requests on the crashed upstream get the id of the crash.
inline constexpr std::size_t crash_ids_max = 2;

/// \brief Lifetime of a mark after the last crash.
inline constexpr base::duration suspect_lifetime = std::chrono::minutes(10);

/// \brief Maximum number of marks, about 200 bytes each. With 84 host failures a day and 200
/// requests on each host, ten minutes yield far fewer marks.
inline constexpr std::size_t suspects_max = 16384;

/// \ingroup routing
/// \brief Treatment of a request according to the crashes of its fingerprint.
enum class suspect_class : std::uint8_t
{
    clear,
    /// One crash: must not run beside another suspect.
    suspect,
    /// Two crashes: must not run until the mark expires.
    refused,
};

/// \ingroup routing
/// \brief Fingerprints of requests that ran on upstreams that crashed.
struct suspects
{
    std::unordered_map<std::uint64_t, suspect_mark> marks;
    /// Fingerprints by expiry; the first one is dropped when there are too many.
    std::set<std::pair<base::mono_time, std::uint64_t>> by_expiry;
};

/// \brief Adds crash ids to a mark, as seen by this entry or received from an agent.
/// \param expires_at expiry of the mark at the sender. It is limited to the lifetime from now and
/// never shortens a mark.
/// \returns true when the mark has gained a crash id and should be propagated. A later expiry alone
/// does not count: clock conversions differ slightly between processes, and the propagation would
/// never end.
bool merge_suspect(suspects& known, std::uint64_t fingerprint,
                   std::span<std::uint64_t const> crash_ids, base::mono_time expires_at,
                   base::mono_time now);

/// \brief Classifies a fingerprint by its known crashes.
[[nodiscard]] suspect_class classify(suspects const& known, std::uint64_t fingerprint,
                                     base::mono_time now);

/// \brief The valid crash ids of a fingerprint, for the Start of a request.
[[nodiscard]] std::vector<std::uint64_t> crash_ids(suspects const& known, std::uint64_t fingerprint,
                                                   base::mono_time now);

/// \brief All valid marks, to be sent to an agent that has just connected; an entry that restarts
/// receives them back from the agents.
[[nodiscard]] std::vector<suspect_mark> valid_marks(suspects const& known, base::mono_time now);

} // namespace gooseberrywood::routing

#endif
