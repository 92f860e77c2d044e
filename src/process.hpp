#ifndef GOOSEBERRYWOOD_PROCESS_HPP
#define GOOSEBERRYWOOD_PROCESS_HPP

/// \defgroup process process
/// \brief What entry and agent processes share: the admin port and the main loop.

#include "process/admin.hpp"
#include "process/main_loop.hpp"

#endif
