#ifndef GOOSEBERRYWOOD_GATEWAY_SHARED_ENTRIES_HPP
#define GOOSEBERRYWOOD_GATEWAY_SHARED_ENTRIES_HPP

#include "gateway/gateway.hpp"

#include <span>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Replaces the view of the shared entries with the items read, then reconciles the jobs and
/// the leadership with it.
/// \param sent_at time at which the read was sent.
void apply_shared_entries(gateway& self, std::span<store::item const> items,
                          base::mono_time sent_at);

} // namespace gooseberrywood::gateway

#endif
