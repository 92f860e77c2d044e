#include "gateway/caller_limits.hpp"

#include "gateway/callers.hpp"

#include <algorithm>

namespace gooseberrywood::gateway
{

namespace
{

http::server_limits to_server_limits(fleet::client_limits const& limits,
                                     std::size_t max_connections)
{
    return {max_connections, limits.max_body_bytes,
            std::min(limits.max_head_bytes, http::max_head_bytes), limits.head_timeout,
            limits.idle_timeout};
}

} // namespace

http::server_options caller_options(gateway& self)
{
    http::server_options options;
    options.limits = to_server_limits({}, self.descriptors.callers);
    options.budgets = self.budgets;
    options.admit = [&self](SoupServerMessage* message)
    {
        return check_claim(self, message);
    };
    return options;
}

http::server_options service_options(gateway const& self)
{
    http::server_options options;
    options.limits.max_connections = self.descriptors.service;
    options.budgets = self.budgets;
    options.check_interval = http::service_check_interval;
    return options;
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
