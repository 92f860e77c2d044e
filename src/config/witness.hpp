#ifndef GOOSEBERRYWOOD_CONFIG_WITNESS_HPP
#define GOOSEBERRYWOOD_CONFIG_WITNESS_HPP

#include <cstddef>
#include <string>

namespace gooseberrywood::config
{

/// \ingroup config
/// \brief An agent as listed by the platform. Agents are the witnesses of announcements, since
/// every entry is connected to every agent and to no other entry.
struct witness
{
    std::string host;
    std::string domain;

    friend bool operator==(witness const&, witness const&) = default;
};

/// \ingroup config
/// \brief Agents of a domain that an operator must have announced to, for the domain to count: two
/// thirds, rounded up.
[[nodiscard]] constexpr std::size_t announced_quorum(std::size_t listed)
{
    return (2 * listed + 2) / 3;
}

/// \ingroup config
/// \brief Agents of a domain that an entry must have heard, for the domain to count: more than
/// half. With `announced_quorum` any two such sets share an agent, also when the host lists of the
/// two processes differ by up to a sixth.
[[nodiscard]] constexpr std::size_t heard_quorum(std::size_t listed)
{
    return listed / 2 + 1;
}

/// \ingroup config
/// \brief Domains that make a majority: more than half. Two of four are none.
[[nodiscard]] constexpr std::size_t domain_majority(std::size_t domains)
{
    return domains / 2 + 1;
}

} // namespace gooseberrywood::config

#endif
