#ifndef GOOSEBERRYWOOD_ROUTING_SUSPECT_MARK_HPP
#define GOOSEBERRYWOOD_ROUTING_SUSPECT_MARK_HPP

#include "base/time.hpp"

#include <cstdint>
#include <vector>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Crashes during which requests with one fingerprint were running.
struct suspect_mark
{
    std::uint64_t fingerprint = 0;
    /// Distinct; at most `crash_ids_max`.
    std::vector<std::uint64_t> crash_ids;
    base::mono_time expires_at{};
};

} // namespace gooseberrywood::routing

#endif
