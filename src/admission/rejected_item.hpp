#ifndef GOOSEBERRYWOOD_ADMISSION_REJECTED_ITEM_HPP
#define GOOSEBERRYWOOD_ADMISSION_REJECTED_ITEM_HPP

#include "base/result_code.hpp"

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Item that a fair queue rejected, with the reason.
template <class Item>
struct rejected_item
{
    /// `team_queue_full`, or `duplicate_attempt` when an item with this id is already queued.
    base::result_code code = base::result_code::internal;
    Item item;
};

} // namespace gooseberrywood::admission

#endif
