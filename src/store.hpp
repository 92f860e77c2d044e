#ifndef GOOSEBERRYWOOD_STORE_HPP
#define GOOSEBERRYWOOD_STORE_HPP

/// \defgroup store store
/// \brief Interface to the durable key-value store, as a struct of functions.
///
/// The adapter in `platform/` implements the functions; tests use an in-memory implementation.

#include "store/client.hpp"

#endif
