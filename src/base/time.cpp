#include "base/time.hpp"

#include <glib.h>

#include <ctime>

namespace gooseberrywood::base
{

mono_time mono_now()
{
    // The boot clock also counts the time in which the host is suspended: a lease that lapsed
    // meanwhile must not look valid afterwards.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t micros_per_s = 1'000'000;
    constexpr std::int64_t nanos_per_micro = 1'000;
    return mono_time{duration{now.tv_sec * micros_per_s + now.tv_nsec / nanos_per_micro}};
}

wall_time wall_now()
{
    return wall_time{wall_clock::duration{g_get_real_time()}};
}

} // namespace gooseberrywood::base
