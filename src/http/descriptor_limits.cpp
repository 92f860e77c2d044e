#include "http/descriptor_limits.hpp"

#include "http/call.hpp"
#include "http/limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace gooseberrywood::http
{

namespace
{

constexpr std::size_t max_service_connections = 32;
constexpr std::size_t service_divisor = 16;

std::size_t system_limit()
{
    rlimit allowed{};
    return getrlimit(RLIMIT_NOFILE, &allowed) == 0 ? static_cast<std::size_t>(allowed.rlim_cur)
                                                   : max_connections;
}

} // namespace

descriptor_limits divide_descriptors(std::size_t configured)
{
    auto const descriptors = configured > 0 ? std::min(configured, system_limit()) : system_limit();
    return {std::min(descriptors / 10 * 3, max_connections),
            std::min(descriptors / 2, default_session_connections),
            std::min(descriptors / service_divisor, max_service_connections)};
}

} // namespace gooseberrywood::http
