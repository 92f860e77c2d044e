#ifndef GOOSEBERRYWOOD_CONFIG_EVIDENCE_HPP
#define GOOSEBERRYWOOD_CONFIG_EVIDENCE_HPP

#include "base/time.hpp"
#include "config/named_change.hpp"

#include <cstdint>
#include <vector>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief What an entry knows from one agent. All times are lower bounds of send times.
struct evidence
{
    /// The last frame that named nothing above the version in effect here.
    base::mono_time full_at = base::mono_time::min();
    /// The last frame that named nothing above it but changes whose records are held here.
    base::mono_time restricted_at = base::mono_time::min();
    /// The last frame and what it named.
    base::mono_time latest_at = base::mono_time::min();
    std::uint64_t latest_version = 0;
    std::vector<named_change> latest_announced;
};

} // namespace gooseberrywood::config

#endif
