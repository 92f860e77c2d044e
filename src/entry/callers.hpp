#ifndef GOOSEBERRYWOOD_ENTRY_CALLERS_HPP
#define GOOSEBERRYWOOD_ENTRY_CALLERS_HPP

#include "entry/entry_process.hpp"

namespace gooseberrywood::entry
{

/// \brief Takes a caller's request.
void handle_caller(entry_process& entry, std::shared_ptr<http::exchange> const& exchange);

/// \brief Whether callers should send requests here.
[[nodiscard]] bool is_ready(entry_process const& entry);

/// \brief Cancels the requests whose callers have closed their connections.
void check_callers(entry_process& entry);

} // namespace gooseberrywood::entry

#endif
