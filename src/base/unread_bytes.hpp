#ifndef GOOSEBERRYWOOD_BASE_UNREAD_BYTES_HPP
#define GOOSEBERRYWOOD_BASE_UNREAD_BYTES_HPP

#include <gio/gio.h>

#include <cstddef>

namespace gooseberrywood::base
{

/// \ingroup base
/// \brief Number of bytes that have arrived at a socket and were not read. Whoever judges that a
/// peer was silent for too long looks at them first: the main loop may be late, and not the peer.
/// \returns 0 also when the socket can't tell.
[[nodiscard]] std::size_t unread_bytes(GSocket* socket);

} // namespace gooseberrywood::base

#endif
