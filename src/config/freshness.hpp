#ifndef GOOSEBERRYWOOD_CONFIG_FRESHNESS_HPP
#define GOOSEBERRYWOOD_CONFIG_FRESHNESS_HPP

#include "base/time.hpp"
#include "config/peer_frame.hpp"
#include "config/standing.hpp"
#include "config/witness.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What an entry knows from one agent.
struct evidence
{
    /// Latest send time of a frame that named nothing above our version.
    base::mono_time good_at = base::mono_time::min();
    /// The last frame, which becomes good once our version has risen to what it named.
    base::mono_time latest_at = base::mono_time::min();
    std::uint64_t latest_named = 0;
};

/// \ingroup config
/// \brief The entry's side of freshness: whether keyed routes may be served.
///
/// They may while the store, or agents in a majority of the bundle's failure domains, said within
/// `freshness_window` that nothing above the version in effect is accepted or announced. Stale
/// processes also end the running requests of keyed routes.
struct freshness
{
    std::uint64_t version = 0;
    std::vector<std::string> domains;
    /// Listed agents by domain, then host.
    std::map<std::string, std::map<std::string, evidence, std::less<>>, std::less<>> agents;
    /// When the last answer of the store was asked for, and what it said.
    base::mono_time store_asked_at = base::mono_time::min();
    std::uint64_t store_version = 0;
    /// The same for the last answer that named the version in effect.
    base::mono_time store_good_at = base::mono_time::min();
};

/// \brief Sets the domains of the bundle and the agents that the platform lists. Known evidence of
/// listed agents is kept.
void set_witnesses(freshness& of, std::span<std::string const> bundle_domains,
                   std::span<witness const> listed);

/// \brief Notes the version that has come into effect.
void version_changed(freshness& of, std::uint64_t version);

/// \brief Notes an agent's frame. Frames of agents that are not listed or vouch for nothing don't
/// count.
void heard(freshness& of, peer_frame const& frame);

/// \brief Notes an answer of the store.
/// \param store_version the version in the store, or the one in effect if the store holds a record
/// without a right signature: nobody takes that into effect, and it must not stop the service.
/// \param asked_at when the call was sent: the answer may describe that time, not a later one.
void store_word(freshness& of, std::uint64_t store_version, base::mono_time asked_at);

/// \brief Until when keyed routes may be served if nothing further is heard. It looks at every
/// agent, so that it is called a few times a second and the deadline is kept for the requests.
[[nodiscard]] base::mono_time fresh_until(freshness const& of);

/// \brief Whether keyed routes may be served now.
[[nodiscard]] bool may_serve_keyed(freshness const& of, base::mono_time now);

/// \brief What the entry vouches for. Goes out with each frame.
[[nodiscard]] standing standing_of(freshness const& of, base::mono_time now);

} // namespace gooseberrywood::config

#endif
