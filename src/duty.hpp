#ifndef GOOSEBERRYWOOD_DUTY_HPP
#define GOOSEBERRYWOOD_DUTY_HPP

/// \defgroup duty duty
/// \brief What one process does for all: orders of weights and reports of usage, under one
/// leadership with a fencing token.
///
/// Pure: nothing here reads a clock or a socket.

#include "duty/candidate.hpp"
#include "duty/model_shares.hpp"
#include "duty/report_transaction.hpp"
#include "duty/usage_windows.hpp"
#include "duty/weights_plan.hpp"

#endif
