#ifndef GOOSEBERRYWOOD_CONFIG_ANNOUNCEMENTS_HPP
#define GOOSEBERRYWOOD_CONFIG_ANNOUNCEMENTS_HPP

#include "base/time.hpp"
#include "config/announcement.hpp"
#include "config/intent.hpp"
#include "config/named_change.hpp"
#include "config/peer_frame.hpp"
#include "config/standing.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief Announcements that are remembered one by one; further ones are merged. Racing operators
/// are few.
inline constexpr std::size_t max_announcements = 16;

/// \ingroup config
/// \brief The agent's side of freshness: what it was told of versions that may be written.
///
/// Announcements are not passed on from agent to agent: a cleared one would come back from a
/// process that has not cleared it yet.
struct announcements
{
    /// Announcements before the start of the process are lost. From this time on a fresh peer's
    /// frame proves that none of them matters any more.
    base::mono_time remember_after{};
    bool remembers = false;
    std::vector<announcement> pending;
};

/// \brief Starts at process start: the process vouches for nothing yet.
[[nodiscard]] announcements start_announcements(base::mono_time now);

/// \brief Notes what an operator announced or withdrew. The agent then returns the intent without
/// its content.
/// \param in_force_version the version in effect here.
void announced(announcements& of, intent const& said, std::uint64_t in_force_version,
               base::mono_time now);

/// \brief Uses the frame of a fresh entry to clear old announcements and, after a start, to begin
/// to vouch.
void heard(announcements& of, peer_frame const& frame, std::uint64_t in_force_version);

/// \brief Drops announcements that the version in effect has overtaken.
void version_changed(announcements& of, std::uint64_t in_force_version);

/// \brief The changes that may still be written. They go out with each frame, and their intents
/// with the answer to each `config_request`.
[[nodiscard]] std::vector<named_change> named(announcements const& of);

/// \brief The announcement of a change, or nullptr if it is not known here.
[[nodiscard]] intent const* find(announcements const& of, named_change const& what);

/// \brief What the process vouches for. Goes out with each frame.
[[nodiscard]] standing standing_of(announcements const& of);

} // namespace gooseberrywood::config

#endif
