#ifndef GOOSEBERRYWOOD_LEASE_DRIFT_MARGIN_HPP
#define GOOSEBERRYWOOD_LEASE_DRIFT_MARGIN_HPP

#include "base/time.hpp"

namespace gooseberrywood::lease
{

/// \ingroup lease
/// \brief Maximum difference between two clocks that measure the same time span.
///
/// 5 % is far above the drift of any working clock, because virtual machines slew their clocks to
/// correct them. 100 ms cover the resolution and small corrections of the store's clock.
[[nodiscard]] constexpr base::duration drift_margin(base::duration span)
{
    return span / 20 + std::chrono::milliseconds(100);
}

} // namespace gooseberrywood::lease

#endif
