#ifndef GOOSEBERRYWOOD_STORE_COMMIT_HPP
#define GOOSEBERRYWOOD_STORE_COMMIT_HPP

#include "store/item.hpp"

#include <cstdint>
#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Outcome of a transaction, as reported by the store.
struct commit
{
    /// False if a condition did not hold; the transaction then had no effect.
    bool committed = false;
    /// Revision that the transaction created.
    std::uint64_t revision = 0;
    /// If not committed, the current items of the conditions' keys. Missing keys are omitted.
    std::vector<item> current;
};

} // namespace gooseberrywood::store

#endif
