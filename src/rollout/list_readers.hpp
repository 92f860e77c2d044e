#ifndef GOOSEBERRYWOOD_ROLLOUT_LIST_READERS_HPP
#define GOOSEBERRYWOOD_ROLLOUT_LIST_READERS_HPP

#include "rollout/member.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief The processes that exist, by host.
using member_map = std::map<std::string, member, std::less<>>;

/// \ingroup rollout
/// \brief Processes that read the lists of the store for all others. Each process works this out by
/// itself; while their views differ, a list is read by a few more.
///
/// Load pattern: a hundred processes need the same few lists every second, which seldom change, and
/// the store counts each call. One strong process of each large failure domain reads; where all
/// domains are small, one process reads for all.
[[nodiscard]] std::vector<member const*> list_readers(member_map const& members);

/// \ingroup rollout
/// \brief The readers that a process may ask, best first: that of its own failure domain, then the
/// others in an order that differs between processes. Empty when the process is a reader itself.
[[nodiscard]] std::vector<member const*>
readers_to_ask(member_map const& members, std::string_view host, std::string_view domain);

} // namespace gooseberrywood::rollout

#endif
