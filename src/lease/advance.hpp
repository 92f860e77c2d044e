#ifndef GOOSEBERRYWOOD_LEASE_ADVANCE_HPP
#define GOOSEBERRYWOOD_LEASE_ADVANCE_HPP

#include "base/time.hpp"
#include "lease/leadership.hpp"
#include "provider/store.hpp"

#include <functional>
#include <memory>

namespace gooseberrywood::lease
{

/// \ingroup lease
/// \brief Sends the call to the store that is due, if any, and processes its outcome.
/// \param leader held by a weak reference while a call is in flight.
/// \param clock returns the current time; also called when an outcome arrives.
///
/// Call it several times a second, and after changing `leadership::wanted`.
void advance(std::shared_ptr<leadership> const& leader, provider::store const& store,
             std::function<base::mono_time()> const& clock);

} // namespace gooseberrywood::lease

#endif
