#ifndef GOOSEBERRYWOOD_MEMBERSHIP_HPP
#define GOOSEBERRYWOOD_MEMBERSHIP_HPP

/// \defgroup membership membership
/// \brief Which upstreams may receive new work.
///
/// Policy only, without sockets or a clock. The entry keeps a `view` of all upstream hosts, the
/// agent knows its own state as `agent_state`.

#include "membership/agent_state.hpp"
#include "membership/host_state.hpp"
#include "membership/listed_host.hpp"
#include "membership/state_dump.hpp"
#include "membership/view.hpp"
#include "membership/work_state.hpp"

#endif
