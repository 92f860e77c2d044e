#ifndef GOOSEBERRYWOOD_ENTRY_HPP
#define GOOSEBERRYWOOD_ENTRY_HPP

/// \defgroup entry entry
/// \brief The process that callers reach: it checks keys, queues, routes, retries and answers.

#include "entry/agent_link.hpp"
#include "entry/caller_request.hpp"
#include "entry/completion_answer.hpp"
#include "entry/entry_process.hpp"
#include "entry/request.hpp"

#endif
