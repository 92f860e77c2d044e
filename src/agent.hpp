#ifndef GOOSEBERRYWOOD_AGENT_HPP
#define GOOSEBERRYWOOD_AGENT_HPP

/// \defgroup agent agent
/// \brief The process beside the upstreams of a host: it admits, runs and accounts for attempts.

#include "agent/agent_process.hpp"
#include "agent/engine_request.hpp"
#include "agent/engine_stream.hpp"
#include "agent/execution.hpp"

#endif
