#ifndef GOOSEBERRYWOOD_BUNDLE_TEAM_HPP
#define GOOSEBERRYWOOD_BUNDLE_TEAM_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::bundle
{

/// \ingroup bundle
/// \brief A team, its weight in the queues and the hashes of its keys.
struct team
{
    std::string name;
    /// Share of the service relative to other teams.
    std::uint32_t weight = 1;
    /// SHA-256 of each key, 64 lower-case hexadecimal digits.
    std::vector<std::string> key_hashes;
    /// Routes that the team may use; empty means all.
    std::vector<std::string> routes;
    /// Most requests that wait in one queue.
    std::uint32_t max_queued = 1000;
    /// Most bytes of request bodies that wait in one queue.
    std::uint64_t max_queued_bytes = 64 * 1024 * 1024;
};

} // namespace gooseberrywood::bundle

#endif
