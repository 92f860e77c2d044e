#ifndef GOOSEBERRYWOOD_GATEWAY_REFRESH_HPP
#define GOOSEBERRYWOOD_GATEWAY_REFRESH_HPP

#include "gateway/gateway.hpp"

#include <string_view>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts to poll the operator's entries, the list of upstreams and the shared entries.
void start_refresh(gateway& self);

/// \ingroup gateway
/// \brief Reads the shared entries from the store now instead of at the next interval.
void refresh_shared_now(gateway& self);

/// \ingroup gateway
/// \brief Reads the operator's entries and the upstreams from the store now. Called when this
/// process becomes the leader: its lists may be as old as a change may take to be in effect, and
/// orders for versions that are already loaded or outdated would take the place of others.
void refresh_for_duties(gateway& self);

/// \ingroup gateway
/// \brief Finds the poller of the list under a prefix.
/// \returns nullptr when this process does not poll such a list.
[[nodiscard]] poller const* find_list_poller(gateway const& self, std::string_view prefix);

/// \ingroup gateway
/// \brief Whether the configuration is recent enough to authenticate keys: a key that was withdrawn
/// after it was read must be rejected once the key withdrawal time has passed.
[[nodiscard]] bool has_current_keys(gateway const& self, base::mono_time now);

/// \ingroup gateway
/// \brief Whether each configuration that must be in effect by now has been read. Otherwise a newer
/// configuration may allow a request that the known one does not.
[[nodiscard]] bool has_current_configuration(gateway const& self, base::mono_time now);

/// \ingroup gateway
/// \brief When the latest list that this process holds was read from the store, directly or by
/// another gateway.
[[nodiscard]] base::mono_time last_store_read_at(gateway const& self);

/// \ingroup gateway
/// \brief Whether the list of upstreams is recent enough to tell which software version an upstream
/// runs. It is not after this process stood still, or while nobody reads the store for it.
[[nodiscard]] bool has_current_upstreams(gateway const& self, base::mono_time now);

/// \ingroup gateway
/// \brief Whether the shared entries are recent enough to show each job that must have stopped by
/// now. Otherwise no sample may be started.
[[nodiscard]] bool has_current_job_ends(gateway const& self, base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
