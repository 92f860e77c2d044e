#ifndef GOOSEBERRYWOOD_ROLLOUT_MEMBER_HPP
#define GOOSEBERRYWOOD_ROLLOUT_MEMBER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief What a process says of itself in the store. The entry ends with the process's lease.
struct member
{
    std::string host;
    /// Lease in the store that everything the process owns is bound to.
    std::uint64_t lease = 0;
    /// `IP:port` where other processes connect; empty when they can't.
    std::string peer_address;
    /// Processor time a second, in cores.
    double processors = 0;
    std::string domain;
};

/// \ingroup rollout
[[nodiscard]] std::string encode(member const& of);

/// \ingroup rollout
/// \returns nothing when the text is not a member's.
[[nodiscard]] std::optional<member> decode_member(std::string host, std::string_view text);

/// \ingroup rollout
/// \brief What is written where a process owns something. It names the lease besides the host, so
/// that entries of an earlier incarnation of the process count as another's.
[[nodiscard]] std::string owner_id(std::string_view host, std::uint64_t lease);

} // namespace gooseberrywood::rollout

#endif
