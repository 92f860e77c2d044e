#ifndef GOOSEBERRYWOOD_GATEWAY_POLLER_HPP
#define GOOSEBERRYWOOD_GATEWAY_POLLER_HPP

#include "base/event_source.hpp"
#include "base/time.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Reads one prefix of the store again and again.
struct poller
{
    base::event_source timer;
    /// The last call that succeeded was sent then.
    base::mono_time confirmed_at{};
    bool failing = false;
};

} // namespace gooseberrywood::gateway

#endif
