#ifndef GOOSEBERRYWOOD_ROLLOUT_MEMBER_HPP
#define GOOSEBERRYWOOD_ROLLOUT_MEMBER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywood::rollout
{

/// \ingroup rollout
/// \brief Entry in which a process announces itself in the store. It is removed when the lease of
/// the process ends.
struct member
{
    std::string host;
    /// Lease in the store; all entries that the process owns are bound to it.
    std::uint64_t lease = 0;
    /// `IP:port` at which other processes connect; empty when the process accepts no connections.
    std::string peer_address;
    /// Available processor time, in cores.
    double processors = 0;
    /// Failure domain.
    std::string domain;
};

/// \ingroup rollout
/// \brief Encodes a member, without its host, as JSON for the store.
[[nodiscard]] std::string encode(member const& member);

/// \ingroup rollout
/// \brief Decodes a member from its stored form.
/// \returns nothing when the text is not a valid member entry.
[[nodiscard]] std::optional<member> decode_member(std::string host, std::string_view text);

/// \ingroup rollout
/// \brief Value that a process stores in the entries that it owns. It contains the lease as well as
/// the host, so that entries of an earlier incarnation of the process have a different owner.
[[nodiscard]] std::string owner_id(std::string_view host, std::uint64_t lease);

} // namespace gooseberrywood::rollout

#endif
