#ifndef GOOSEBERRYWOOD_PLATFORM_SERVICES_HPP
#define GOOSEBERRYWOOD_PLATFORM_SERVICES_HPP

#include "platform/call_kind.hpp"
#include "platform/host_list.hpp"
#include "platform/orders.hpp"
#include "platform/store.hpp"
#include "platform/usage_sink.hpp"
#include "platform/weight_store.hpp"

#include <functional>

namespace gooseberrywood::platform
{

/// \ingroup platform
/// \brief Everything that the platform offers. Other modules know the platform only through this.
struct services
{
    platform::store store;
    platform::host_list hosts;
    platform::orders orders;
    platform::usage_sink usage;
    platform::weight_store weights;
    /// Calls that these functions have sent so far.
    std::function<call_counts()> calls;
};

} // namespace gooseberrywood::platform

#endif
