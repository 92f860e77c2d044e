#ifndef GOOSEBERRYWOOD_GATEWAY_SHARED_ENTRIES_HPP
#define GOOSEBERRYWOOD_GATEWAY_SHARED_ENTRIES_HPP

#include "gateway/gateway.hpp"

#include <span>

namespace gooseberrywood::gateway
{

/// \ingroup gateway
/// \brief Takes what was read of the entries that all processes share, and acts on it.
/// \param sent_at the call that read it was sent then.
void apply_shared_entries(gateway& self, std::span<store::item const> read,
                          base::mono_time sent_at);

} // namespace gooseberrywood::gateway

#endif
