#include "gateway/request_costs.hpp"

namespace gooseberrywood::gateway
{

namespace
{

/// Name of the route of a request; empty when the configuration has none.
std::string_view route_name(gateway const& self, routed_spec const& spec)
{
    auto const* const route =
        self.configuration ? fleet::find_route(*self.configuration, spec.host, spec.call.path)
                           : nullptr;
    return route != nullptr ? std::string_view(route->name) : std::string_view();
}

} // namespace

double expected_cost(gateway const& self, routed_spec const& spec)
{
    return fleet::expected_work(self.costs, spec.service, route_name(self, spec),
                                http::view_of(spec.call.body).size());
}

void note_answered_cost(gateway& self, routed_spec const& spec, base::duration response_time)
{
    fleet::note_cost(self.costs, spec.service, route_name(self, spec),
                     http::view_of(spec.call.body).size(), response_time);
}

void note_abandoned_cost(gateway& self, routed_try const& abandoned, base::mono_time now)
{
    if (abandoned.fetch && http::is_sent(*abandoned.fetch))
    {
        fleet::note_abandoned(self.pool, abandoned.upstream, now - abandoned.sent_at, now,
                              abandoned.work.left);
    }
}

} // namespace gooseberrywood::gateway
