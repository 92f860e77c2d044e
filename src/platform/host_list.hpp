#ifndef GOOSEBERRYWOOD_PLATFORM_HOST_LIST_HPP
#define GOOSEBERRYWOOD_PLATFORM_HOST_LIST_HPP

#include "base/time.hpp"
#include "platform/done.hpp"
#include "platform/host_info.hpp"

#include <functional>
#include <vector>

namespace gooseberrywood::platform
{

/// \ingroup platform
/// \brief The platform's list of live and leaving hosts. It lags behind the truth.
struct host_list
{
    /// Errors: `store_unavailable`, `platform_refused`.
    std::function<void(base::mono_time deadline, done<std::vector<host_info>>)> read;
};

} // namespace gooseberrywood::platform

#endif
