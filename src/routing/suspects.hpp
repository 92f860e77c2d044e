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

/// \brief Distinct crash ids after which a request is refused. One may be a coincidence: all
/// requests on the crashed upstream carry its id.
inline constexpr std::size_t crash_ids_max = 2;

/// \brief How long a mark lasts after the last crash.
inline constexpr base::duration suspect_lifetime = std::chrono::minutes(10);

/// \brief Most marks, about 200 bytes each. 84 hosts fail a day; even if each of them ran 200
/// requests, ten minutes bring far fewer.
inline constexpr std::size_t suspects_max = 16384;

/// \ingroup routing
/// \brief What may be done with a request.
enum class suspect_class : std::uint8_t
{
    clear,
    /// One crash: not beside another suspect.
    suspect,
    /// Two crashes: not at all, until the mark expires.
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
/// \param expires_at end of the mark at the sender; never taken as later than the lifetime from
/// now, and never shortens a mark.
/// \returns true when the mark has a further crash id, so that it is worth passing on. A later
/// expiry alone does not count: clock conversions differ a little at each process, and passing
/// them on would never end.
bool merge_suspect(suspects& known, std::uint64_t fingerprint,
                   std::span<std::uint64_t const> crash_ids, base::mono_time expires_at,
                   base::mono_time now);

/// \brief Judges a fingerprint.
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
