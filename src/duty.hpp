#ifndef GOOSEBERRYWOOD_DUTY_HPP
#define GOOSEBERRYWOOD_DUTY_HPP

/// \defgroup duty duty
/// \brief Duties of the leader: it orders upstreams to load weights and reports usage on behalf of
/// all processes. The leadership has a fencing token.
///
/// All functions are pure: the time is a parameter, and nothing here does I/O.

#include "duty/candidate.hpp"
#include "duty/model_shares.hpp"
#include "duty/report_transaction.hpp"
#include "duty/usage_windows.hpp"
#include "duty/weights_loads.hpp"
#include "duty/weights_plan.hpp"

#endif
