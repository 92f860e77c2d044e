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
/// \brief The member processes, by host.
using member_map = std::map<std::string, member, std::less<>>;

/// \ingroup rollout
/// \brief Selects the processes that read the lists from the store on behalf of all others. Each
/// process evaluates this on its own; while their views differ, a few more processes read a list.
///
/// Load pattern: a hundred processes need the same few lists every second. The lists seldom change,
/// and the store counts each call. The strongest process of each large failure domain reads; if all
/// failure domains are small, one process reads for all.
[[nodiscard]] std::vector<member const*> list_readers(member_map const& members);

/// \ingroup rollout
/// \brief The readers that a process may ask, in order of preference: the reader of its own failure
/// domain first, then the others in an order that differs between processes.
/// \param host the asking process.
/// \param domain its failure domain.
/// \returns an empty list when the process is a reader itself.
[[nodiscard]] std::vector<member const*>
readers_to_ask(member_map const& members, std::string_view host, std::string_view domain);

} // namespace gooseberrywood::rollout

#endif
