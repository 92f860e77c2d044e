#ifndef GOOSEBERRYWOOD_EXPLAIN_HPP
#define GOOSEBERRYWOOD_EXPLAIN_HPP

/// \defgroup explain explain
/// \brief Collects the log lines of all processes about one id and summarizes its outcome.

#include "explain/id_history.hpp"

#endif
