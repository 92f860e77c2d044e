#ifndef GOOSEBERRYWOOD_GATEWAY_MOVE_RUNS_HPP
#define GOOSEBERRYWOOD_GATEWAY_MOVE_RUNS_HPP

#include "gateway/gateway.hpp"

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Moves running samples to faster upstreams that have a free slot, those first that save
/// most time. Does nothing if the last check was a short time ago.
///
/// Must be called before waiting samples are dispatched: these take every free slot, whether or not
/// a long sample has more use for it.
void move_runs(gateway& self, base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
