#ifndef GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNNER_HPP
#define GOOSEBERRYWOOD_GATEWAY_SAMPLE_RUNNER_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts the regular check of running and waiting samples.
void start_sample_checks(gateway& self);

/// \ingroup gateway
/// \brief Sends waiting samples to upstreams, as soon as the loop has handled what is pending.
void dispatch_samples(gateway& self);

} // namespace gooseberrywood::gateway

#endif
