#ifndef GOOSEBERRYWOOD_ADMISSION_CREDIT_SHARES_HPP
#define GOOSEBERRYWOOD_ADMISSION_CREDIT_SHARES_HPP

#include <cstdint>
#include <map>
#include <vector>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Credit and recent demand of one connected entry.
struct entry_share
{
    std::uint32_t share = 1;
    std::uint32_t outstanding = 0;
    /// Largest number outstanding since the last rebalance.
    std::uint32_t peak = 0;
    /// Moving average of the wanted share.
    double demand = 0;
};

/// \ingroup admission
/// \brief Distribution of twice the limit of an upstream over the connected entries.
struct credit_shares
{
    /// Keyed by the agent's number of the connection.
    std::map<std::uint64_t, entry_share> entries;
    std::uint32_t total = 0;
    /// An entry connected or disconnected since the last rebalance.
    bool membership_changed = false;
};

/// \ingroup admission
/// \brief Changed share, to be announced to its entry.
struct share_change
{
    std::uint64_t entry = 0;
    std::uint32_t share = 0;

    friend bool operator==(share_change const&, share_change const&) = default;
};

/// \brief Adds an entry; its share is one until the next rebalance.
void connect(credit_shares& shares, std::uint64_t entry);

/// \brief Removes an entry.
void disconnect(credit_shares& shares, std::uint64_t entry);

/// \brief Counts a request that an entry offered.
void count_offer(credit_shares& shares, std::uint64_t entry);

/// \brief Counts the end of a request that an entry had offered.
void count_end(credit_shares& shares, std::uint64_t entry);

/// \brief Distributes twice a limit according to recent demand. Each entry gets at least one, so
/// that the sum is larger when there are more entries than that. To be called about once a second.
/// \returns the shares that changed.
[[nodiscard]] std::vector<share_change> rebalance(credit_shares& shares, std::uint32_t limit);

} // namespace gooseberrywood::admission

#endif
