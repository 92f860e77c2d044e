#ifndef GOOSEBERRYWOOD_LEASE_HPP
#define GOOSEBERRYWOOD_LEASE_HPP

/// \defgroup lease lease
/// \brief Leader election with a lease of the platform's store, a fencing number and a local
/// deadline.
///
/// The holder computes its deadline on its own monotonic clock from the time before it sent the
/// call, never from the arrival of the response. `may_act` therefore turns false before the store
/// can grant the lease to another process. Check it directly before each action, and abort the
/// action at `leadership::deadline`.

#include "lease/advance.hpp"
#include "lease/drift_margin.hpp"
#include "lease/leadership.hpp"
#include "lease/leadership_options.hpp"
#include "lease/step.hpp"

#endif
