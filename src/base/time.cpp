#include "base/time.hpp"

#include <glib.h>

namespace gooseberrywood::base
{

mono_time mono_now()
{
    return mono_time{duration{g_get_monotonic_time()}};
}

wall_time wall_now()
{
    return wall_time{wall_clock::duration{g_get_real_time()}};
}

} // namespace gooseberrywood::base
