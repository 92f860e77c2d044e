#ifndef GOOSEBERRYWOOD_PROVIDER_USAGE_REPORT_HPP
#define GOOSEBERRYWOOD_PROVIDER_USAGE_REPORT_HPP

#include "base/time.hpp"
#include "provider/usage_line.hpp"

#include <cstdint>
#include <vector>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief Usage within one reporting window. A repeated report of a window has the same figures.
struct usage_report
{
    base::wall_time begin{};
    base::wall_time end{};
    std::uint64_t fencing = 0;
    std::vector<usage_line> lines;

    friend bool operator==(usage_report const&, usage_report const&) = default;
};

} // namespace gooseberrywood::provider

#endif
