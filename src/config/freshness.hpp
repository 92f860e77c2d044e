#ifndef GOOSEBERRYWOOD_CONFIG_FRESHNESS_HPP
#define GOOSEBERRYWOOD_CONFIG_FRESHNESS_HPP

#include "base/time.hpp"
#include "config/evidence.hpp"
#include "config/held_change.hpp"
#include "config/in_force.hpp"
#include "config/intent.hpp"
#include "config/named_change.hpp"
#include "config/peer_frame.hpp"
#include "config/serving_state.hpp"
#include "config/standing.hpp"
#include "config/witness.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief The entry's side of freshness: whether keyed routes may be served.
///
/// They may while the store, or agents in a majority of the bundle's failure domains, said within
/// `freshness_window` that nothing above the version in effect is accepted or announced. They may
/// with restrictions while those agents named only announced changes whose records are held here:
/// without the store nobody can say whether these were written.
struct freshness
{
    std::uint64_t version = 0;
    std::vector<std::string> domains;
    /// Listed agents by domain, then host.
    std::map<std::string, std::map<std::string, evidence, std::less<>>, std::less<>> agents;
    std::vector<held_change> held;
    /// When the last answer of the store was asked for, and what it said.
    base::mono_time store_asked_at = base::mono_time::min();
    std::uint64_t store_version = 0;
    /// The same for the last answer that named the version in effect.
    base::mono_time store_good_at = base::mono_time::min();
    /// Until then the answer to the last request for an announced change is awaited.
    base::mono_time asked_until = base::mono_time::min();
    std::uint64_t requests = 0;
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

/// \brief Notes what an operator announced or withdrew, received from it or from an agent.
void announced(freshness& of, intent const& said, base::mono_time now);

/// \brief Notes an answer of the store.
/// \param store_version the version in the store, or the one in effect if the store holds a record
/// without a right signature: nobody takes that into effect, and it must not stop the service.
/// \param asked_at when the call was sent: the answer may describe that time, not a later one.
void store_word(freshness& of, std::uint64_t store_version, base::mono_time asked_at);

/// \brief Makes the records of announced changes, if they are needed to go on serving. Call it
/// a few times a second, and after each configuration that comes into effect.
///
/// Applying and verifying 1 MB takes milliseconds, so that nothing is done while the store answers.
void prepare(freshness& of, in_force const& current, base::mono_time now);

/// \brief Until when the configuration in effect alone decides if nothing further is heard.
///
/// This and `restricted_until` look at every agent. Call them a few times a second and keep the
/// deadlines for the requests; what is heard later only moves them on.
[[nodiscard]] base::mono_time full_until(freshness const& of);

/// \brief Until when keyed routes may be served with restrictions if nothing further is heard.
[[nodiscard]] base::mono_time restricted_until(freshness const& of);

/// \brief Whether keyed routes may be served now.
[[nodiscard]] serving_state state_of(freshness const& of, base::mono_time now);

/// \brief The records that a key must also pass in the state `restricted`.
[[nodiscard]] std::vector<std::reference_wrapper<record const>> restrictions(freshness const& of);

/// \brief The agent to ask for an announced change that is not known here, if any.
/// \returns a request for a `config_request`, whose answer holds the agent's announcements.
[[nodiscard]] std::optional<due_request> next_request(freshness& of, base::mono_time now);

/// \brief The announcement of a change, or nullptr if it is not known here.
[[nodiscard]] intent const* find(freshness const& of, named_change const& what);

/// \brief What the entry vouches for. Goes out with each frame.
[[nodiscard]] standing standing_of(freshness const& of, base::mono_time now);

} // namespace gooseberrywood::config

#endif
