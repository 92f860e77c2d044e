#ifndef GOOSEBERRYWOOD_DUTY_USAGE_REPORT_HPP
#define GOOSEBERRYWOOD_DUTY_USAGE_REPORT_HPP

#include "duty/authority.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace gooseberrywood::duty
{

/// \ingroup duty
/// \brief Requests of each team that began to run in one window.
struct usage_report
{
    /// Windows are numbered from the start of 1970.
    std::int64_t window = 0;
    std::map<std::string, std::uint64_t> counts;
};

/// \ingroup duty
/// \brief What became of a report.
enum class report_outcome : std::uint8_t
{
    accepted,
    /// A leader with a higher fencing token has reported.
    fenced,
    /// Not accepted, or the answer is lost; the same report may be sent again.
    unknown,
};

} // namespace gooseberrywood::duty

#endif
