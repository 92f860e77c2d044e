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
/// \brief Sends the step that is due, if any, to the store, and takes its outcome.
/// \param of kept by weak reference while a call runs.
/// \param clock reads the current time; called when an outcome arrives.
///
/// Call it several times a second, and after changing `leadership::wanted`.
void advance(std::shared_ptr<leadership> const& of, provider::store const& store,
             std::function<base::mono_time()> const& clock);

} // namespace gooseberrywood::lease

#endif
