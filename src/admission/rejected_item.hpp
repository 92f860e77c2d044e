#ifndef GOOSEBERRYWOOD_ADMISSION_REJECTED_ITEM_HPP
#define GOOSEBERRYWOOD_ADMISSION_REJECTED_ITEM_HPP

#include "base/result_code.hpp"

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief An item that a fair queue did not accept, and why.
template <class Item>
struct rejected_item
{
    /// `team_queue_full`, or `duplicate_attempt` when an item with this id waits already.
    base::result_code code = base::result_code::internal;
    Item item;
};

} // namespace gooseberrywood::admission

#endif
