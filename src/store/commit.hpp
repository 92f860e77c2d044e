#ifndef GOOSEBERRYWOOD_STORE_COMMIT_HPP
#define GOOSEBERRYWOOD_STORE_COMMIT_HPP

#include "store/item.hpp"

#include <cstdint>
#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Outcome of a transaction that the store answered.
struct commit
{
    /// False: a condition did not hold and nothing was done.
    bool committed = false;
    /// Revision of the change.
    std::uint64_t revision = 0;
    /// Current items of the conditions' keys when it was not done; missing keys are left out.
    std::vector<item> current;
};

} // namespace gooseberrywood::store

#endif
