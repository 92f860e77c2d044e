#ifndef GOOSEBERRYWOOD_PROVIDER_HOST_LIST_HPP
#define GOOSEBERRYWOOD_PROVIDER_HOST_LIST_HPP

#include "base/time.hpp"
#include "provider/done.hpp"
#include "provider/host_info.hpp"

#include <functional>
#include <vector>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief The platform's list of live and leaving hosts. Changes appear in it with a delay.
struct host_list
{
    /// Reads the list. Errors: `store_unavailable`, `platform_refused`.
    std::function<void(base::mono_time deadline, done<std::vector<host_info>>)> read;
};

} // namespace gooseberrywood::provider

#endif
