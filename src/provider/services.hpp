#ifndef GOOSEBERRYWOOD_PROVIDER_SERVICES_HPP
#define GOOSEBERRYWOOD_PROVIDER_SERVICES_HPP

#include "provider/call_kind.hpp"
#include "provider/host_list.hpp"
#include "provider/orders.hpp"
#include "provider/store.hpp"
#include "provider/usage_sink.hpp"
#include "provider/weight_store.hpp"

#include <functional>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief All services of the platform. Other modules access the platform only through this struct.
struct services
{
    provider::store store;
    provider::host_list hosts;
    provider::orders orders;
    provider::usage_sink usage;
    provider::weight_store weights;
    /// Number of calls that these functions have sent so far.
    std::function<call_counts()> calls;
};

} // namespace gooseberrywood::provider

#endif
