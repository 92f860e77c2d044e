#include "gateway/caller_limits.hpp"

#include "gateway/callers.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace gooseberrywood::gateway
{

namespace
{

// Connections of the balancer, of operators and of what reads the metrics.
constexpr std::size_t max_service_connections = 32;
constexpr std::size_t service_descriptor_divisor = 16;

http::server_limits to_server_limits(fleet::client_limits const& limits,
                                     std::size_t max_connections)
{
    return {max_connections, limits.max_body_bytes,
            std::min(limits.max_head_bytes, http::max_head_bytes), limits.head_timeout,
            limits.idle_timeout};
}

} // namespace

std::size_t max_descriptors(gateway const& self)
{
    rlimit allowed{};
    auto const system_limit = getrlimit(RLIMIT_NOFILE, &allowed) == 0
                                  ? static_cast<std::size_t>(allowed.rlim_cur)
                                  : http::max_connections;
    auto const configured = self.settings.max_descriptors;
    return configured > 0 ? std::min(configured, system_limit) : system_limit;
}

http::server_options caller_options(gateway& self)
{
    auto const max_connections = std::min(max_descriptors(self) / 10 * 3, http::max_connections);
    return {to_server_limits({}, max_connections), self.budgets,
            [&self](SoupServerMessage* message)
            {
                return check_claim(self, message);
            }};
}

http::server_options service_options(gateway const& self)
{
    http::server_options options;
    options.limits.max_connections =
        std::min(max_descriptors(self) / service_descriptor_divisor, max_service_connections);
    options.budgets = self.budgets;
    return options;
}

std::size_t max_upstream_connections(gateway const& self)
{
    return std::min(max_descriptors(self) / 2, http::default_session_connections);
}

void apply_client_limits(gateway& self, fleet::client_limits const& limits)
{
    if (self.callers)
    {
        auto& table = *self.callers->connections;
        http::set_limits(table, to_server_limits(limits, table.limits.max_connections));
    }
}

} // namespace gooseberrywood::gateway
