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

void build_indexes(configuration& of)
{
    of.routes_by_host.clear();
    of.team_by_key.clear();
    for (std::size_t i = 0; i < of.routes.size(); ++i)
    {
        of.routes_by_host[of.routes[i].host].push_back(i);
    }
    for (auto& [host, indexes] : of.routes_by_host)
    {
        std::stable_sort(indexes.begin(), indexes.end(),
                         [&](std::size_t a, std::size_t b)
                         { return of.routes[a].prefix.size() > of.routes[b].prefix.size(); });
    }
    if (of.teams)
    {
        for (auto const& team : *of.teams)
        {
            for (auto const& key : team.keys)
            {
                of.team_by_key[key] = team.name;
            }
        }
    }
}

route const* find_route(configuration const& in, std::string_view host, std::string_view path)
{
    auto const at = in.routes_by_host.find(std::string(without_port(host)));
    if (at == in.routes_by_host.end())
    {
        return nullptr;
    }
    for (auto const index : at->second)
    {
        if (path.starts_with(in.routes[index].prefix))
        {
            return &in.routes[index];
        }
    }
    return nullptr;
}

service const* find_service(configuration const& in, std::string_view name)
{
    auto const at = std::find_if(in.services.begin(), in.services.end(),
                                 [&](service const& one) { return one.name == name; });
    return at != in.services.end() ? &*at : nullptr;
}

std::string const* find_team(configuration const& in, std::string const& key)
{
    auto const at = in.team_by_key.find(key);
    return at != in.team_by_key.end() ? &at->second : nullptr;
}

std::string const& service_for_request(route const& which, std::string_view request_id)
{
    auto const total =
        std::accumulate(which.services.begin(), which.services.end(), 0.0,
                        [](double sum, service_share const& one) { return sum + one.weight; });
    auto const fraction = static_cast<double>(base::hash64(request_id)) /
                          static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double left = fraction * total;
    for (auto const& share : which.services)
    {
        left -= share.weight;
        if (left < 0)
        {
            return share.service;
        }
    }
    return which.services.back().service;
}

} // namespace gooseberrywood::fleet
