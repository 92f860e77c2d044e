#include "bundle/bundle.hpp"

#include <algorithm>

namespace gooseberrywood::bundle
{

namespace
{

template <class T>
T const* find_by_name(std::vector<T> const& in, std::string_view name)
{
    auto const at =
        std::find_if(in.begin(), in.end(), [&](T const& one) { return one.name == name; });
    return at != in.end() ? &*at : nullptr;
}

bool is_below(std::string_view path, std::string_view prefix)
{
    return path.starts_with(prefix) &&
           (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

} // namespace

route const* find_route(bundle const& of, std::string_view name)
{
    return find_by_name(of.routes, name);
}

route const* find_service(bundle const& of, std::string_view path)
{
    path = path.substr(0, path.find('?'));
    route const* best = nullptr;
    for (auto const& one : of.routes)
    {
        bool const fits = one.kind == route_kind::service && is_below(path, one.path_prefix);
        if (fits && (best == nullptr || one.path_prefix.size() > best->path_prefix.size()))
        {
            best = &one;
        }
    }
    return best;
}

team const* find_team(bundle const& of, std::string_view name)
{
    return find_by_name(of.teams, name);
}

team const* find_team_by_key(bundle const& of, std::string_view key_hash)
{
    auto const holds = [&](team const& one)
    {
        return std::find(one.key_hashes.begin(), one.key_hashes.end(), key_hash) !=
               one.key_hashes.end();
    };
    auto const at = std::find_if(of.teams.begin(), of.teams.end(), holds);
    return at != of.teams.end() ? &*at : nullptr;
}

bool may_use(team const& user, route const& wanted)
{
    // What anybody may use without a key is not denied to a team that sends one.
    return wanted.open || user.routes.empty() ||
           std::find(user.routes.begin(), user.routes.end(), wanted.name) != user.routes.end();
}

} // namespace gooseberrywood::bundle
