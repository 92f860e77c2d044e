#ifndef GOOSEBERRYWOOD_EXPLAIN_HPP
#define GOOSEBERRYWOOD_EXPLAIN_HPP

/// \defgroup explain explain
/// \brief Finds in the logs of all processes what became of one id.

#include "explain/id_history.hpp"

#endif
