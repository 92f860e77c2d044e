#ifndef GOOSEBERRYWOOD_FLEET_CONFIGURATION_HPP
#define GOOSEBERRYWOOD_FLEET_CONFIGURATION_HPP

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
/// \brief One version of the configuration, with its indexes.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    /// Absent: no request needs a key.
    std::optional<std::vector<team>> teams;

    /// Indexes of `routes` by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host;
    std::unordered_map<std::string, std::string> team_by_key;
};

/// \ingroup fleet
/// \brief Fills the indexes after routes and teams were set.
void build_indexes(configuration& of);

/// \ingroup fleet
/// \brief The route of the host with the longest prefix that begins the path.
/// \param host value of the Host header; a port in it is ignored.
[[nodiscard]] route const* find_route(configuration const& in, std::string_view host,
                                      std::string_view path);

/// \ingroup fleet
/// \brief The service with a name.
[[nodiscard]] service const* find_service(configuration const& in, std::string_view name);

/// \ingroup fleet
/// \brief The team that holds a key.
[[nodiscard]] std::string const* find_team(configuration const& in, std::string const& key);

/// \ingroup fleet
/// \brief The service that a request goes to: always the same for the same id.
/// \param request_id spreads the requests by the weights of the route's shares.
[[nodiscard]] std::string const& service_for_request(route const& which,
                                                     std::string_view request_id);

} // namespace gooseberrywood::fleet

#endif
