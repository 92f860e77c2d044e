#ifndef GOOSEBERRYWOOD_ROUTING_HPP
#define GOOSEBERRYWOOD_ROUTING_HPP

/// \defgroup routing routing
/// \brief Routing policy of an entry: choice of upstream, retries, crash suspects, claims of
/// request ids and the state machine of a request.
///
/// The module performs no I/O and reads no clock: times are passed as arguments of type
/// base::mono_time, and random numbers come from a generator of the caller. Nothing here is
/// thread-safe; an entry has one thread.

#include "routing/attempt_log.hpp"
#include "routing/backoff.hpp"
#include "routing/choose.hpp"
#include "routing/claim_home.hpp"
#include "routing/claim_round.hpp"
#include "routing/decision.hpp"
#include "routing/prefix_hash.hpp"
#include "routing/prefix_hints.hpp"
#include "routing/retry_budget.hpp"
#include "routing/suspects.hpp"
#include "routing/upstream_table.hpp"

#endif
