#ifndef GOOSEBERRYWOOD_PROVIDER_DONE_HPP
#define GOOSEBERRYWOOD_PROVIDER_DONE_HPP

#include "base/result.hpp"

#include <functional>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Completion handler of an asynchronous call. It is invoked exactly once, from the main
/// loop, and never before the call has returned.
///
/// The handler may outlive the struct of functions that was called, so it must not capture state
/// by reference.
template <class T>
using done = std::function<void(base::result<T> const&)>;

} // namespace gooseberrywood::provider

#endif
