#ifndef GOOSEBERRYWOOD_ADMISSION_TEAM_LIMITS_HPP
#define GOOSEBERRYWOOD_ADMISSION_TEAM_LIMITS_HPP

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Weight and bounds of one team in one queue. The bounds are those of `bundle::team`.
struct team_limits
{
    std::uint32_t weight = 1;
    std::uint32_t max_queued = 1000;
    std::uint64_t max_queued_bytes = 64 * 1024 * 1024;
};

} // namespace gooseberrywood::admission

#endif
