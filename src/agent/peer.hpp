#ifndef GOOSEBERRYWOOD_AGENT_PEER_HPP
#define GOOSEBERRYWOOD_AGENT_PEER_HPP

#include "wire/connection.hpp"

#include <cstdint>
#include <memory>

namespace gooseberrywood::agent
{

/// \ingroup agent
/// \brief A connected entry.
struct peer
{
    std::uint64_t number = 0;
    std::shared_ptr<wire::connection> connection;
    /// The configuration version in its last frame.
    std::uint64_t config_version = 0;
};

} // namespace gooseberrywood::agent

#endif
