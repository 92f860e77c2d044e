#ifndef GOOSEBERRYWOOD_PROCESS_HPP
#define GOOSEBERRYWOOD_PROCESS_HPP

/// \defgroup process process
/// \brief Code shared by entry and agent processes: admin server, configuration and main loop.

#include "process/admin.hpp"
#include "process/main_loop.hpp"

#endif
