#ifndef GOOSEBERRYWOOD_CONFIG_HPP
#define GOOSEBERRYWOOD_CONFIG_HPP

/// \defgroup config config
/// \brief Which configuration is in effect, announcements, and freshness of keyed routes.
///
/// Pure policy: no sockets, no clock, no store. docs/configuration.md has the rules and the
/// argument why a withdrawn key stops working in time.

#include "config/announcement.hpp"
#include "config/announcements.hpp"
#include "config/apply_outcome.hpp"
#include "config/apply_phase.hpp"
#include "config/apply_round.hpp"
#include "config/delta.hpp"
#include "config/edit.hpp"
#include "config/evidence.hpp"
#include "config/freshness.hpp"
#include "config/head.hpp"
#include "config/held_change.hpp"
#include "config/history.hpp"
#include "config/in_force.hpp"
#include "config/intent.hpp"
#include "config/named_change.hpp"
#include "config/peer_frame.hpp"
#include "config/record.hpp"
#include "config/replica.hpp"
#include "config/serving_state.hpp"
#include "config/signed_bundle.hpp"
#include "config/standing.hpp"
#include "config/state_dump.hpp"
#include "config/timing.hpp"
#include "config/witness.hpp"
#include "config/write_answer.hpp"

#endif
