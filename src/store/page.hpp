#ifndef GOOSEBERRYWOOD_STORE_PAGE_HPP
#define GOOSEBERRYWOOD_STORE_PAGE_HPP

#include "store/item.hpp"

#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief One page of the items under a prefix, sorted by key.
struct page
{
    std::vector<item> items;
    /// Whether the prefix has more items after the last one of this page.
    bool has_more = false;
};

} // namespace gooseberrywood::store

#endif
