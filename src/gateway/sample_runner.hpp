#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNNER_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNNER_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts the periodic check of running and waiting samples.
void start_sample_checks(gateway& self);

/// \ingroup gateway
/// \brief Schedules a dispatch of waiting samples to upstreams, which runs once the main loop has
/// handled its pending events.
void schedule_sample_dispatch(gateway& self);

} // namespace gooseberrywood::gateway

#endif
