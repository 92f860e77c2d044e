#ifndef GOOSEBERRYWOOD_GATEWAY_CRASH_WATCH_HPP
#define GOOSEBERRYWOOD_GATEWAY_CRASH_WATCH_HPP

#include "base/error.hpp"
#include "base/event_source.hpp"
#include "base/time.hpp"
#include "fleet/crash_marks.hpp"
#include "gateway/entry_lease.hpp"
#include "gateway/routed_request.hpp"
#include "store/item.hpp"
#include "wire/connection.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace gooseberrywood::gateway
{

struct gateway;

/// \ingroup gateway
/// \brief Requests that crash the upstreams that run them. Callers send them again, under new ids
/// and at any gateway, so the gateways share what they have seen: through entries in the store, or,
/// while the store does not confirm them, by messages to each other.
struct crash_watch
{
    fleet::crash_marks marks;
    entry_lease lease;
    base::event_source share_timer;
};

/// \ingroup gateway
/// \brief Until when requests equal to this one are refused, because they crash upstreams; absent
/// when they are not.
[[nodiscard]] std::optional<base::mono_time> refused_until(gateway const& self, routed_spec& spec,
                                                           base::mono_time now);

/// \ingroup gateway
/// \brief Counts and logs a request that is refused because upstreams have ended under equal ones.
/// \returns the error for the caller.
[[nodiscard]] base::error refuse_crashing_request(gateway& self, routed_spec& spec);

/// \ingroup gateway
/// \brief Whether an upstream is held to have ended under a request equal to this one.
[[nodiscard]] bool is_crash_suspect(gateway const& self, routed_spec& spec, base::mono_time now);

/// \ingroup gateway
/// \brief Records that the connection of a try broke after the request was sent.
void note_broken_try(gateway& self, routed_spec& spec, routed_try const& broken);

/// \ingroup gateway
/// \brief Records that nobody waits any more for a try that was not answered.
void note_abandoned_try(gateway& self, routed_spec& spec, routed_try const& abandoned);

/// \ingroup gateway
/// \brief Records that the upstream of a try has answered it, with whatever status.
void note_upstream_answered(gateway& self, routed_try const& answered);

/// \ingroup gateway
/// \brief Records that an upstream has served a request with success.
void note_served(gateway& self, routed_spec& spec);

/// \ingroup gateway
/// \brief Compares what was seen with a new list of upstreams.
/// \param read_at when the read of the list was sent.
void review_crashes(gateway& self, base::mono_time read_at);

/// \ingroup gateway
/// \brief Applies the marks that gateways have stored.
/// \param items the shared entries.
/// \param read_at when their read was sent.
void apply_stored_crashes(gateway& self, std::span<store::item const> items,
                          base::mono_time read_at);

/// \ingroup gateway
/// \brief Applies the marks that another gateway has sent.
void apply_crash_notice(gateway& self, wire::connection& from, wire::suspect const& notice);

} // namespace gooseberrywood::gateway

#endif
