#ifndef GOOSEBERRYWOOD_STORE_TRANSPORT_HPP
#define GOOSEBERRYWOOD_STORE_TRANSPORT_HPP

#include "base/time.hpp"
#include "http/fetch.hpp"

#include <functional>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Function that sends one call to the store and returns the response. The URL of the
/// request holds only the path and the query.
using transport = std::function<void(http::call_request, base::mono_time deadline,
                                     std::function<void(http::fetch_outcome)>)>;

} // namespace gooseberrywood::store

#endif
