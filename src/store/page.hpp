#ifndef GOOSEBERRYWOOD_STORE_PAGE_HPP
#define GOOSEBERRYWOOD_STORE_PAGE_HPP

#include "store/item.hpp"

#include <vector>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Items under a prefix, in the order of their keys.
struct page
{
    std::vector<item> items;
    /// More items follow after the last one.
    bool has_more = false;
};

} // namespace gooseberrywood::store

#endif
