#ifndef GOOSEBERRYWOOD_STORE_LIST_CHANGES_HPP
#define GOOSEBERRYWOOD_STORE_LIST_CHANGES_HPP

#include "store/item.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Changes to a list copy since one of its versions.
struct list_changes
{
    /// Id of the copy that the changes come from; see `list_copy::id`.
    std::uint64_t source = 0;
    /// Version of that copy after these changes.
    std::uint64_t version = 0;
    /// True if `items` is the complete list and replaces whatever the receiver has.
    bool whole = false;
    /// New items and items whose value or revision changed.
    std::vector<item> items;
    /// Keys of removed items; empty if `whole` is set.
    std::vector<std::string> removed;
};

} // namespace gooseberrywood::store

#endif
