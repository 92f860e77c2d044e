#ifndef GOOSEBERRYWOOD_BASE_HPP
#define GOOSEBERRYWOOD_BASE_HPP

/// \defgroup base base
/// \brief Result codes, time, identifiers, hashes, logging and metrics that all other modules use.

#include "base/byte_budget.hpp"
#include "base/error.hpp"
#include "base/hash.hpp"
#include "base/invariant.hpp"
#include "base/log.hpp"
#include "base/request_id.hpp"
#include "base/result.hpp"
#include "base/result_code.hpp"
#include "base/time.hpp"

#endif
