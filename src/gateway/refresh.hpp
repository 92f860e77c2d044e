#ifndef GOOSEBERRYWOOD_GATEWAY_REFRESH_HPP
#define GOOSEBERRYWOOD_GATEWAY_REFRESH_HPP

#include "gateway/gateway.hpp"

#include <string_view>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Starts to read the operator's entries, the list of upstreams and the shared entries.
void start_refresh(gateway& self);

/// \ingroup gateway
/// \brief Reads the shared entries now instead of at the next turn.
void refresh_shared_now(gateway& self);

/// \ingroup gateway
/// \brief What this process knows of the list under a prefix.
/// \returns nullptr when it does not read such a list.
[[nodiscard]] poller const* find_list(gateway const& self, std::string_view prefix);

/// \ingroup gateway
/// \brief Whether the configuration is fresh enough for requests that need a key: one that was
/// withdrawn in the meantime must not work.
[[nodiscard]] bool may_trust_keys(gateway const& self, base::mono_time now);

/// \ingroup gateway
/// \brief Whether each configuration that has to be in effect by now is known. Without that, a
/// request that the known one does not allow may be allowed.
[[nodiscard]] bool knows_configuration(gateway const& self, base::mono_time now);

/// \ingroup gateway
/// \brief When the last call that the store answered was sent.
[[nodiscard]] base::mono_time store_reached_at(gateway const& self);

/// \ingroup gateway
/// \brief Whether each job that had to be stopped by now is known to have been ended. Without that,
/// no sample may start.
[[nodiscard]] bool has_current_job_ends(gateway const& self, base::mono_time now);

} // namespace gooseberrywood::gateway

#endif
