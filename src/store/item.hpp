#ifndef GOOSEBERRYWOOD_STORE_ITEM_HPP
#define GOOSEBERRYWOOD_STORE_ITEM_HPP

#include <cstdint>
#include <string>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief A key-value pair in the store.
struct item
{
    std::string key;
    std::string value;
    /// Revision of the last change to the item.
    std::uint64_t revision = 0;
};

} // namespace gooseberrywood::store

#endif
