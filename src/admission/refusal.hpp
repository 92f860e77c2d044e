#ifndef GOOSEBERRYWOOD_ADMISSION_REFUSAL_HPP
#define GOOSEBERRYWOOD_ADMISSION_REFUSAL_HPP

#include "base/request_id.hpp"
#include "base/result_code.hpp"
#include "base/time.hpp"

#include <cstdint>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Refusal of an attempt, to be reported to its entry.
struct refusal
{
    base::request_id id;
    std::uint32_t attempt = 0;
    std::uint64_t entry = 0;
    base::result_code code = base::result_code::internal;
    /// True only if the ledger holds the attempt's tombstone.
    bool not_run = false;
    /// Earliest sensible time of a retry at this upstream.
    base::mono_time retry_at{};
};

} // namespace gooseberrywood::admission

#endif
