#ifndef GOOSEBERRYWOOD_ROUTING_HPP
#define GOOSEBERRYWOOD_ROUTING_HPP

/// \defgroup routing routing
/// \brief Policy of an entry: choice of upstream, retries, crash suspects, duplicate claims and the
/// decisions about one request.
///
/// Pure code: it opens no socket and reads no clock. Times are arguments of type base::mono_time,
/// random numbers come from a generator that the caller passes in. Nothing here is thread-safe; an
/// entry has one thread.

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
