#ifndef GOOSEBERRYWOOD_DUTY_USAGE_REPORT_HPP
#define GOOSEBERRYWOOD_DUTY_USAGE_REPORT_HPP

#include "duty/authority.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Number of requests that started in one window, by team.
struct usage_report
{
    /// Number of the window, counted from the Unix epoch.
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> counts;
};

/// \ingroup duty
/// \brief Outcome of the submission of a report.
enum class report_outcome : std::uint8_t
{
    accepted,
    /// Refused, because a leader with a higher fencing token has already reported.
    fenced,
    /// Not accepted, or the answer was lost; the same report may be sent again.
    unknown,
};

} // namespace gooseberrywood::duty

#endif
