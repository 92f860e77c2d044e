#ifndef GOOSEBERRYWOOD_PROVIDER_USAGE_SINK_HPP
#define GOOSEBERRYWOOD_PROVIDER_USAGE_SINK_HPP

#include "base/time.hpp"
#include "provider/done.hpp"
#include "provider/usage_report.hpp"

#include <functional>

namespace gooseberrywood::provider
{

/// \ingroup provider
/// \brief The platform's interface that accepts usage reports.
struct usage_sink
{
    /// Reports the usage of a window. Errors: `fenced`, `outcome_unknown` (the report may have been
    /// accepted), `platform_refused` (the report was not accepted).
    std::function<void(usage_report const& report, base::mono_time deadline, done<void>)> report;
};

} // namespace gooseberrywood::provider

#endif
