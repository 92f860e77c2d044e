#ifndef GOOSEBERRYWOOD_ROLLOUT_PERMIT_ISSUER_HPP
#define GOOSEBERRYWOOD_ROLLOUT_PERMIT_ISSUER_HPP

#include "base/time.hpp"
#include "rollout/list_readers.hpp"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Hosts of the members that can issue permits, as they were known from a time on.
struct issuer_view
{
    base::mono_time known_at{};
    /// Sorted.
    std::vector<std::string> hosts;
};

/// \ingroup rollout
/// \brief Views of the members that were in use within the last `issuer_settle_time`, oldest first.
using issuer_views = std::deque<issuer_view>;

/// \ingroup rollout
/// \brief A change of the members reaches all processes that hear the store or each other within
/// this time.
inline constexpr base::duration issuer_settle_time = std::chrono::milliseconds(2000);

/// \ingroup rollout
/// \brief Adds the current view and removes those that are no longer needed.
void note_members(issuer_views& views, member_map const& members, base::mono_time now);

/// \ingroup rollout
/// \brief Host that issues the permits of an upstream, by rendezvous hashing over the members.
/// \returns empty when no member is known.
[[nodiscard]] std::string_view issuer_of(issuer_view const& view, std::string_view upstream);

/// \ingroup rollout
/// \brief Whether a host has been the issuer for so long that no process asks an earlier one.
[[nodiscard]] bool is_settled_issuer(issuer_views const& views, std::string_view upstream,
                                     std::string_view host, base::mono_time now);

} // namespace gooseberrywood::rollout

#endif
