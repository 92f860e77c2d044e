#ifndef GOOSEBERRYWOOD_GATEWAY_POLLER_HPP
#define GOOSEBERRYWOOD_GATEWAY_POLLER_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"
#include "gateway/unreadable_entries.hpp"
#include "store/list_copy.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief State of the polling of one list of the store, from the store itself or from a gateway
/// that reads it for others.
struct poller
{
    base::event_source timer;
    store::list_copy copy;
    /// The list was read at this time or later.
    base::mono_time confirmed_at{};
    /// While the gateways that read for this one have no recent list, the store is not read before
    /// this time.
    base::mono_time next_store_read_at{};
    /// The last read of the store failed.
    bool failing = false;
    unreadable_entries unreadable;
};

} // namespace gooseberrywood::gateway

#endif
