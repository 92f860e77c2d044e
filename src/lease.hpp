#ifndef GOOSEBERRYWOOD_LEASE_HPP
#define GOOSEBERRYWOOD_LEASE_HPP

/// \defgroup lease lease
/// \brief Leadership: a lease of the platform's store, its fencing number and a local deadline.
///
/// The holder judges its lease by its own monotonic clock and by the time before it sent the call,
/// never by the time an answer arrived: `may_act` is false before the store lets anybody else in.
/// Check it directly before each act, and abort the act at `leadership::deadline`.

#include "lease/advance.hpp"
#include "lease/drift_margin.hpp"
#include "lease/leadership.hpp"
#include "lease/leadership_options.hpp"
#include "lease/step.hpp"

#endif
