#ifndef GOOSEBERRYWOOD_ADMISSION_HPP
#define GOOSEBERRYWOOD_ADMISSION_HPP

/// \defgroup admission admission
/// \brief Admission control of an upstream: concurrency limit, fair queue, attempt ledger and
/// credit.
///
/// The module performs no I/O and reads no clock. Each upstream has one `admission_controller`.
/// `fair_queue` is also the queue of an entry.

#include "admission/admission_controller.hpp"
#include "admission/attempt_key.hpp"
#include "admission/attempt_outcome.hpp"
#include "admission/claims.hpp"
#include "admission/credit_shares.hpp"
#include "admission/dump.hpp"
#include "admission/fair_queue.hpp"
#include "admission/finish_report.hpp"
#include "admission/latency_sample.hpp"
#include "admission/latency_signal.hpp"
#include "admission/latest_dispatch.hpp"
#include "admission/ledger.hpp"
#include "admission/ledger_entry.hpp"
#include "admission/limiter.hpp"
#include "admission/queue_tag.hpp"
#include "admission/queued_start.hpp"
#include "admission/refusal.hpp"
#include "admission/rejected_item.hpp"
#include "admission/running_attempt.hpp"
#include "admission/service_estimate.hpp"
#include "admission/suspect_marks.hpp"
#include "admission/team_limits.hpp"

#endif
