#ifndef GOOSEBERRYWOOD_GATEWAY_HPP
#define GOOSEBERRYWOOD_GATEWAY_HPP

/// \defgroup gateway gateway
/// \brief The gateway process, which runs on the users' machines. It accepts requests and batch
/// jobs from callers and trainers, runs them on upstreams, and keeps durable state in the store.
///
/// This module does input and output only; the decision logic is in `fleet`, `rollout` and `duty`.

#include "gateway/gateway.hpp"

#endif
