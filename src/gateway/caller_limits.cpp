#include "gateway/caller_limits.hpp"

#include <algorithm>
#include <cstddef>

namespace gooseberrywood::gateway
{

namespace
{

constexpr std::size_t megabyte = 1'000'000;
// The other half is for the program, for batch jobs and for what the upstreams and the store send.
constexpr std::size_t memory_divisor = 2;
// A request that is being served may need a connection to an upstream, too; the last third is for
// the store, for other gateways and for files.
constexpr std::size_t descriptor_divisor = 3;

} // namespace

http::server_limits caller_limits(settings::gateway_settings const& settings,
                                  fleet::client_limits const& allowed)
{
    http::server_limits limits;
    limits.memory_bytes =
        static_cast<std::size_t>(settings.memory_limit_mb) * megabyte / memory_divisor;
    limits.max_connections =
        static_cast<std::size_t>(settings.descriptor_limit) / descriptor_divisor;
    limits.max_body_bytes = allowed.max_body_bytes;
    limits.max_head_bytes = allowed.max_head_bytes;
    limits.head_timeout = allowed.head_timeout;
    limits.idle_timeout = allowed.idle_timeout;
    return limits;
}

} // namespace gooseberrywood::gateway
