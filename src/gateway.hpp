#ifndef GOOSEBERRYWOOD_GATEWAY_HPP
#define GOOSEBERRYWOOD_GATEWAY_HPP

/// \defgroup gateway gateway
/// \brief The process that callers and trainers reach on the users' machines: it takes their
/// requests and batch jobs, runs them on upstreams, and keeps what must last in the store.
///
/// Input and output only; decisions are in `fleet`, `rollout` and `duty`.

#include "gateway/gateway.hpp"

#endif
