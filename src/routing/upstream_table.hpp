#ifndef GOOSEBERRYWOOD_ROUTING_UPSTREAM_TABLE_HPP
#define GOOSEBERRYWOOD_ROUTING_UPSTREAM_TABLE_HPP

#include "base/time.hpp"
#include "routing/agent_session.hpp"
#include "routing/agent_state.hpp"
#include "routing/attempt_ticket.hpp"
#include "routing/detail/string_hash.hpp"
#include "routing/route_candidates.hpp"
#include "routing/upstream_id.hpp"
#include "routing/upstream_state.hpp"
#include "wire/message.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::routing
{

/// \ingroup routing
/// \brief Agents and upstreams known to the entry process.
struct upstream_table
{
    std::vector<agent_state> agents;
    std::vector<upstream_state> upstreams;
    std::vector<route_candidates> routes;
    /// Indices of the unused elements of `agents` and of `upstreams`.
    std::vector<std::uint32_t> free_agents;
    std::vector<std::uint32_t> free_upstreams;
    detail::string_map<std::uint32_t> agent_by_host;
    detail::string_map<std::uint32_t> route_by_name;
    std::set<std::string, std::less<>> domains_out;
    std::set<std::string, std::less<>> hosts_leaving;
};

/// \brief Handles an agent's hello. Its upstreams become candidates with their first credit report.
/// \returns the session for the following calls; an older session of the host is ended first.
agent_session connect_agent(upstream_table& table, wire::hello const& hello);

/// \brief Handles the end of the connection to an agent: none of its upstreams is chosen any more,
/// and attempts in flight there are no longer counted. Has no effect when a newer session exists.
void disconnect_agent(upstream_table& table, agent_session const& session);

/// \brief Removes a host that the platform no longer lists, with its upstreams.
void remove_host(upstream_table& table, std::string_view host);

/// \brief Applies a credit report.
/// \returns false when the session has ended or the agent has no such upstream.
bool apply_credit(upstream_table& table, agent_session const& session, wire::credit const& report,
                  base::mono_time now);

/// \brief Replaces the set of failure domains that are out.
void set_domains_out(upstream_table& table, std::span<std::string const> domains);

/// \brief Replaces the set of hosts that are leaving.
void set_hosts_leaving(upstream_table& table, std::span<std::string const> hosts);

/// \brief Counts an attempt that is about to be sent.
/// \param suspect_until only for a request that is suspected of crashing upstreams: its deadline,
/// until which it may run on this one.
[[nodiscard]] attempt_ticket begin_attempt(upstream_table& table, upstream_id upstream,
                                           std::optional<base::mono_time> suspect_until = {});

/// \brief Counts the end of an attempt, whatever its outcome. Has no effect when the agent's
/// connection was lost meanwhile.
void end_attempt(upstream_table& table, attempt_ticket const& ticket);

/// \brief Finds the upstream with an id.
/// \returns null when the id is stale.
[[nodiscard]] upstream_state const* find_upstream(upstream_table const& table, upstream_id id);

/// \brief Finds the candidates of a route.
/// \returns null for a route that no agent has listed.
[[nodiscard]] route_candidates const* find_route(upstream_table const& table,
                                                 std::string_view route);

/// \brief Memory used by the table, including its strings and lists.
[[nodiscard]] std::size_t memory_bytes(upstream_table const& table);

} // namespace gooseberrywood::routing

#endif
