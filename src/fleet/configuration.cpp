#include "fleet/configuration.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace gooseberrywood::fleet
{

namespace
{

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

void build_indexes(configuration& configuration)
{
    configuration.routes_by_host.clear();
    configuration.team_by_key.clear();
    for (std::size_t i = 0; i < configuration.routes.size(); ++i)
    {
        configuration.routes_by_host[configuration.routes[i].host].push_back(i);
    }
    for (auto& [host, indexes] : configuration.routes_by_host)
    {
        std::stable_sort(indexes.begin(), indexes.end(),
                         [&](std::size_t a, std::size_t b) {
                             return configuration.routes[a].prefix.size() >
                                    configuration.routes[b].prefix.size();
                         });
    }
    if (configuration.teams)
    {
        for (auto const& team : *configuration.teams)
        {
            for (auto const& key : team.keys)
            {
                configuration.team_by_key[key] = team.name;
            }
        }
    }
}

route const* find_route(configuration const& configuration, std::string_view host,
                        std::string_view path)
{
    auto const it = configuration.routes_by_host.find(std::string(without_port(host)));
    if (it == configuration.routes_by_host.end())
    {
        return nullptr;
    }
    for (auto const index : it->second)
    {
        if (path.starts_with(configuration.routes[index].prefix))
        {
            return &configuration.routes[index];
        }
    }
    return nullptr;
}

service const* find_service(configuration const& configuration, std::string_view name)
{
    auto const it = std::find_if(configuration.services.begin(), configuration.services.end(),
                                 [&](service const& service) { return service.name == name; });
    return it != configuration.services.end() ? &*it : nullptr;
}

std::string const* find_team(configuration const& configuration, std::string const& key)
{
    auto const it = configuration.team_by_key.find(key);
    return it != configuration.team_by_key.end() ? &it->second : nullptr;
}

std::string const& service_for_request(route const& route, std::string_view request_id)
{
    auto const total =
        std::accumulate(route.services.begin(), route.services.end(), 0.0,
                        [](double sum, service_share const& share) { return sum + share.weight; });
    auto const fraction = static_cast<double>(base::hash64(request_id)) /
                          static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double remaining = fraction * total;
    for (auto const& share : route.services)
    {
        remaining -= share.weight;
        if (remaining < 0)
        {
            return share.service;
        }
    }
    return route.services.back().service;
}

} // namespace gooseberrywood::fleet
