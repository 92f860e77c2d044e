#ifndef GOOSEBERRYWOOD_PROVIDER_DONE_HPP
#define GOOSEBERRYWOOD_PROVIDER_DONE_HPP

#include "base/result.hpp"

#include <functional>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Receives the outcome of a call, once, in the main loop, and never before the call
/// returns.
///
/// It may outlive the structs of functions, so it must not refer to state by plain reference.
template <class T>
using done = std::function<void(base::result<T> const&)>;

} // namespace gooseberrywood::provider

#endif
