#ifndef GOOSEBERRYWOOD_FLEET_HPP
#define GOOSEBERRYWOOD_FLEET_HPP

/// \defgroup fleet fleet
/// \brief Routes, teams and upstreams of a deployment, and the choice of an upstream.
///
/// Pure decisions: time is passed in, nothing here reads a clock or a socket.

#include "fleet/choose_upstream.hpp"
#include "fleet/configuration.hpp"
#include "fleet/pool.hpp"

#endif
