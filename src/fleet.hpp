#ifndef GOOSEBERRYWOOD_FLEET_HPP
#define GOOSEBERRYWOOD_FLEET_HPP

/// \defgroup fleet fleet
/// \brief Routes, teams and upstreams of a deployment, and the choice of an upstream.
///
/// All functions are pure: the time is a parameter, and nothing here does I/O.

#include "fleet/choose_move.hpp"
#include "fleet/choose_upstream.hpp"
#include "fleet/configuration.hpp"
#include "fleet/cost_estimate.hpp"
#include "fleet/crash_marks.hpp"
#include "fleet/departures.hpp"
#include "fleet/model_capacity.hpp"
#include "fleet/permit_bucket.hpp"
#include "fleet/pool.hpp"
#include "fleet/reward_share.hpp"
#include "fleet/service_load.hpp"
#include "fleet/service_queue.hpp"
#include "fleet/try_budget.hpp"

#endif
