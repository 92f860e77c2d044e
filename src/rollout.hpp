#ifndef GOOSEBERRYWOOD_ROLLOUT_HPP
#define GOOSEBERRYWOOD_ROLLOUT_HPP

/// \defgroup rollout rollout
/// \brief Batch jobs and their samples: what is stored of them, how they go on, and in which order
/// they run.
///
/// Pure: nothing here reads a clock or a socket.

#include "rollout/batch_job.hpp"
#include "rollout/job_placement.hpp"
#include "rollout/job_record.hpp"
#include "rollout/member.hpp"
#include "rollout/result_chunk.hpp"
#include "rollout/sample_progress.hpp"
#include "rollout/saved_progress.hpp"
#include "rollout/store_keys.hpp"
#include "rollout/waiting_sample.hpp"

#endif
