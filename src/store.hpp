#ifndef GOOSEBERRYWOOD_STORE_HPP
#define GOOSEBERRYWOOD_STORE_HPP

/// \defgroup store store
/// \brief The key-value store that keeps what must last, as a struct of functions.
///
/// The adapter in `platform/` supplies the functions; tests supply a store in memory.

#include "store/client.hpp"

#endif
