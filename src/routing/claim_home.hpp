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

/// \brief Homes of a claim. Two, in different failure domains, survive the loss of either.
inline constexpr std::size_t claim_home_count = 2;

/// \ingroup routing
/// \brief An agent that may keep claims.
struct claim_home
{
    std::string host;
    std::string domain;
    /// Hash of the host, computed once; a choice hashes only 64-bit values.
    std::uint64_t host_hash = 0;
};

/// \brief Builds a home with its hash.
[[nodiscard]] claim_home make_claim_home(std::string host, std::string domain);

/// \brief Chooses the homes of a request id by rendezvous hashing.
/// \param agents all agents of the platform's host list, connected or not: entries that chose among
/// the agents they reach would choose different homes.
/// \returns the first home, and the best one in another failure domain; when there is only one
/// domain, the best two hosts; fewer when there are fewer agents.
[[nodiscard]] std::vector<claim_home> choose_claim_homes(std::span<claim_home const> agents,
                                                         base::request_id const& id);

} // namespace gooseberrywood::routing

#endif
