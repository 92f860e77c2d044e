#ifndef GOOSEBERRYWOOD_ROUTING_CLAIM_HOME_HPP
#define GOOSEBERRYWOOD_ROUTING_CLAIM_HOME_HPP

#include "base/request_id.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gooseberrywood::routing
{

/// \brief Number of homes of a claim, that is, of agents that store it. Two in different failure
/// domains tolerate the loss of either.
inline constexpr std::size_t claim_home_count = 2;

/// \ingroup routing
/// \brief Agent that can store claims.
struct claim_home
{
    std::string host;
    std::string domain;
    /// Hash of the host, computed once, so that a choice hashes only 64-bit values.
    std::uint64_t host_hash = 0;
};

/// \brief Creates a home and computes its hash.
[[nodiscard]] claim_home make_claim_home(std::string host, std::string domain);

/// \brief Chooses the homes of a request id by rendezvous hashing.
/// \param agents all agents of the platform's host list, connected or not: entries that considered
/// only the agents they reach would choose different homes.
/// \returns the highest-ranked agent and the highest-ranked one in another failure domain. If there
/// is only one domain, the two highest-ranked hosts; fewer if there are fewer agents.
[[nodiscard]] std::vector<claim_home> choose_claim_homes(std::span<claim_home const> agents,
                                                         base::request_id const& id);

} // namespace gooseberrywood::routing

#endif
