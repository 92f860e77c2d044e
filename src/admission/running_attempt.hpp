#ifndef GOOSEBERRYWOOD_ADMISSION_RUNNING_ATTEMPT_HPP
#define GOOSEBERRYWOOD_ADMISSION_RUNNING_ATTEMPT_HPP

#include "base/request_id.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywood::admission
{

/// \ingroup admission
/// \brief Record of a running attempt.
struct running_attempt
{
    base::request_id id;
    std::uint32_t attempt = 0;
    std::uint64_t entry = 0;
    std::string team;
    std::string key_hash;
    bool idempotent = false;
    std::uint32_t cost = 0;
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> crash_ids;
    base::mono_time deadline{};
    base::mono_time started_at{};
};

} // namespace gooseberrywood::admission

#endif
