#ifndef GOOSEBERRYWOOD_HTTP_CONNECTION_END_HPP
#define GOOSEBERRYWOOD_HTTP_CONNECTION_END_HPP

#include <libsoup/soup.h>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Makes the connections of a session record that their end was read. libsoup does not tell
/// a head that ends with its connection from one that ends with a blank line.
void watch_connections(SoupSession* session);

/// \ingroup http
/// \brief Prepares a message for `has_connection_ended`. To be called before it is sent.
/// \param session a session of `watch_connections`.
void watch_connection(SoupSession* session, SoupMessage* message);

/// \ingroup http
/// \brief Whether the end of a message's connection was read. When its headers have just been read,
/// this means that they were cut off: reading stops at the blank line that ends a whole head.
[[nodiscard]] bool has_connection_ended(SoupMessage* message);

/// \ingroup http
/// \brief Whether only the close of the connection tells the end of a response: it has neither a
/// length nor chunks.
[[nodiscard]] bool ends_with_connection(SoupMessage* message);

} // namespace gooseberrywood::http

#endif
