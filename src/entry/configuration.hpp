#ifndef GOOSEBERRYWOOD_ENTRY_CONFIGURATION_HPP
#define GOOSEBERRYWOOD_ENTRY_CONFIGURATION_HPP

#include "entry/entry_process.hpp"

namespace gooseberrywood::entry
{

/// \brief Puts the configuration in effect into force: queues, withdrawn keys, failure domains out.
void apply_configuration(entry_process& entry);

/// \brief What each frame to an agent says of this entry.
[[nodiscard]] wire::frame_stamp make_stamp(entry_process const& entry, agent_link const& to);

/// \brief Notes what an agent's frame says of its configuration, and asks for a newer one.
void note_frame(entry_process& entry, agent_link& from, wire::frame const& received);

/// \brief Recomputes until when keyed routes may be served; ends requests that may not go on.
void check_freshness(entry_process& entry);

/// \brief Whether a request of a keyed route may be served now.
/// \returns `configuration_stale`, or `key_unknown` when an announced change withdraws the key.
[[nodiscard]] base::result<void> check_serving(entry_process const& entry,
                                               caller_request const& caller);

} // namespace gooseberrywood::entry

#endif
