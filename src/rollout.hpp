#ifndef GOOSEBERRYWOOD_ROLLOUT_HPP
#define GOOSEBERRYWOOD_ROLLOUT_HPP

/// \defgroup rollout rollout
/// \brief Batch jobs and their samples: their stored form, their progress, the placement of jobs on
/// hosts and the order in which samples run.
///
/// All functions are pure: the time is a parameter, and nothing here does I/O.

#include "rollout/batch_job.hpp"
#include "rollout/group_plan.hpp"
#include "rollout/job_placement.hpp"
#include "rollout/job_record.hpp"
#include "rollout/length_estimate.hpp"
#include "rollout/member.hpp"
#include "rollout/permit_issuer.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/sample_progress.hpp"
#include "rollout/saved_progress.hpp"
#include "rollout/store_keys.hpp"
#include "rollout/text_origin.hpp"

#endif
