#ifndef GOOSEBERRYWOOD_FLEET_CONFIGURATION_HPP
#define GOOSEBERRYWOOD_FLEET_CONFIGURATION_HPP

#include "fleet/client_limits.hpp"
#include "fleet/route.hpp"
#include "fleet/service.hpp"
#include "fleet/team.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberrywood::fleet
{

/// \ingroup fleet
/// \brief One version of the configuration, with lookup indexes.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    /// Absent when no request needs a key.
    std::optional<std::vector<team>> teams;
    client_limits limits;

    /// Indices into `routes` by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
    /// Name of the team by key.
    std::unordered_map<std::string, std::string> team_by_key;
};

/// \ingroup fleet
/// \brief Rebuilds the lookup indexes. Must be called after a change of the routes or teams.
void build_indexes(configuration& configuration);

/// \ingroup fleet
/// \brief Finds the route of a host whose prefix is the longest one that matches a path.
/// \param host value of the Host header; a port in it is ignored.
/// \returns null when no route matches.
[[nodiscard]] route const* find_route(configuration const& configuration, std::string_view host,
                                      std::string_view path);

/// \ingroup fleet
/// \brief Finds a service by its name.
/// \returns null when there is none.
[[nodiscard]] service const* find_service(configuration const& configuration,
                                          std::string_view name);

/// \ingroup fleet
/// \brief Finds the name of the team that holds a key.
/// \returns null when no team holds it.
[[nodiscard]] std::string const* find_team(configuration const& configuration,
                                           std::string const& key);

/// \ingroup fleet
/// \brief Selects the service for a request by a hash of its id, in proportion to the weights of
/// the route's services. The same id always yields the same service.
[[nodiscard]] std::string const& service_for_request(route const& route,
                                                     std::string_view request_id);

} // namespace gooseberrywood::fleet

#endif
