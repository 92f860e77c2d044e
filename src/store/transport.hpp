#ifndef GOOSEBERRYWOOD_STORE_TRANSPORT_HPP
#define GOOSEBERRYWOOD_STORE_TRANSPORT_HPP

#include "base/time.hpp"
#include "http/fetch.hpp"

#include <functional>

namespace gooseberrywood::store
{

/// \ingroup store
/// \brief Carries one call to the store and its answer back. The URL of the request holds the path
/// and the query only.
using transport = std::function<void(http::call_request, base::mono_time deadline,
                                     std::function<void(http::fetch_outcome)>)>;

} // namespace gooseberrywood::store

#endif
