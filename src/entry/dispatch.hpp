#ifndef GOOSEBERRYWOOD_ENTRY_DISPATCH_HPP
#define GOOSEBERRYWOOD_ENTRY_DISPATCH_HPP

#include "entry/entry_process.hpp"

namespace gooseberrywood::entry
{

/// \brief Runs over the queue as soon as the loop has handled what is pending: each waiting request
/// whose team's turn it is and for which there is an upstream is sent there.
void dispatch_soon(entry_process& entry);

/// \brief Whether equal requests crashed one upstream, so that this one is not placed beside
/// another suspect.
[[nodiscard]] bool is_suspect(entry_process const& entry, request const& which,
                              base::mono_time now);

} // namespace gooseberrywood::entry

#endif
