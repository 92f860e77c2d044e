#ifndef GOOSEBERRYWOOD_STORE_TRANSACTION_HPP
#define GOOSEBERRYWOOD_STORE_TRANSACTION_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Maximum total number of conditions, writes and removals that the store accepts in one
/// transaction.
inline constexpr std::size_t max_transaction_entries = 32;

/// \ingroup store
/// \brief Condition of a transaction: the key has this revision. Revision 0 means that the key does
/// not exist.
struct expectation
{
    std::string key;
    std::uint64_t revision = 0;
};

/// \ingroup store
/// \brief A value to write.
struct write
{
    std::string key;
    std::string value;
    /// Lease whose end removes the key; 0 for none.
    std::uint64_t lease = 0;
};

/// \ingroup store
/// \brief Writes and removals that are applied atomically if all conditions hold, or not at all.
struct transaction
{
    std::vector<expectation> expected;
    std::vector<write> writes;
    std::vector<std::string> removals;
};

} // namespace gooseberrywood::store

#endif
