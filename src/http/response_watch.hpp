#ifndef GOOSEBERRYWOOD_HTTP_RESPONSE_WATCH_HPP
#define GOOSEBERRYWOOD_HTTP_RESPONSE_WATCH_HPP

#include "base/byte_budget.hpp"

#include <libsoup/soup.h>

#include <memory>

namespace gooseberrywood::http
{

/// \ingroup http
/// \brief Makes the connections of a session check the framing of all responses on the bytes that
/// are received. libsoup takes much that is no HTTP/1.1 for the end of a response: the end of the
/// connection within a head, or a chunk whose size is no number.
/// \sa message_framing
void watch_connections(SoupSession* session);

/// \ingroup http
/// \brief Prepares a message for the functions below. To be called before it is sent.
/// \param session a session of `watch_connections`.
/// \param share counts the bytes of the response. Reading fails where it can't grow.
void watch_response(SoupSession* session, SoupMessage* message,
                    std::shared_ptr<base::byte_share> const& share);

/// \ingroup http
/// \brief Whether libsoup reads the headers of a response alike. To be called when it has just read
/// them.
/// \returns why its length is ambiguous, or nullptr.
[[nodiscard]] char const* find_ambiguity(SoupMessage* message);

/// \ingroup http
/// \brief Why reading the response to a message has failed, if its framing was at fault.
/// \returns the error, owned by the caller; nullptr if there was no such fault.
[[nodiscard]] GError* find_fault(SoupMessage* message);

/// \ingroup http
/// \brief Whether the response to a message was received to its end.
[[nodiscard]] bool is_response_whole(SoupMessage* message);

/// \ingroup http
/// \brief Prevents that the connection of a message is used again if more than its response arrived
/// there. To be called when the response was read to its end, before its stream is closed.
void close_if_surplus(SoupMessage* message);

/// \ingroup http
/// \brief Whether only the close of the connection tells the end of a response: it has neither a
/// length nor chunks.
[[nodiscard]] bool ends_with_connection(SoupMessage* message);

} // namespace gooseberrywood::http

#endif
